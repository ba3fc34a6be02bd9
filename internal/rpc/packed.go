package rpc

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxUnpacked bounds the encoding of a whole view: some ten times that of the largest
// deployment that is aimed at.
const maxUnpacked = 64 << 20

// Unreadable is the type of errors of a packed answer that can't be read.
var Unreadable = Namespace.NewType("unreadable")

// packers are kept: one takes up more memory than most answers.
var packers = sync.Pool{New: func() any {
	// The level is a valid one, so there is no error.
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return w
}}

// PackPart gives a part of an answer compressed. Parts that follow each other are an answer
// too: it has all that their lists hold, and of single fields what the last part has. Errors:
// those of encoding.
func PackPart(part *pb.WatchResponse) ([]byte, error) {
	data, err := proto.Marshal(part)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w := packers.Get().(*gzip.Writer)
	defer packers.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// UnpackView gives the answer that a packed one holds, or the answer itself if it is not
// packed. Errors: Unreadable.
func UnpackView(resp *pb.WatchResponse) (*pb.WatchResponse, error) {
	if len(resp.GetPacked()) == 0 {
		return resp, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(resp.GetPacked()))
	if err != nil {
		return nil, Unreadable.Wrap(err, "packed view")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, Unreadable.Wrap(err, "packed view")
	}
	if len(data) > maxUnpacked {
		return nil, Unreadable.New("packed view of more than %d bytes", maxUnpacked)
	}
	whole := &pb.WatchResponse{}
	if err := proto.Unmarshal(data, whole); err != nil {
		return nil, Unreadable.Wrap(err, "packed view")
	}
	return whole, nil
}
