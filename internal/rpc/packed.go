package rpc

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxUnpackedBytes bounds the encoded size of a full view: about ten times that of the largest
// supported deployment.
const maxUnpackedBytes = 64 << 20

// Unreadable is the type of errors about a compressed answer that can't be decoded.
var Unreadable = Namespace.NewType("unreadable")

// gzipWriters is a pool, since one writer takes more memory than most answers.
var gzipWriters = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return w
}}

// PackPart compresses a part of an answer. Concatenated parts are one answer again: their
// repeated fields are joined, and a single field has the value of the last part. It fails if the
// part can't be encoded.
func PackPart(part *pb.WatchResponse) ([]byte, error) {
	data, err := proto.Marshal(part)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// UnpackView returns the answer that a compressed one holds, or resp itself if it is not
// compressed. Errors: Unreadable.
func UnpackView(resp *pb.WatchResponse) (*pb.WatchResponse, error) {
	if len(resp.GetPacked()) == 0 {
		return resp, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(resp.GetPacked()))
	if err != nil {
		return nil, Unreadable.Wrap(err, "packed view")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, Unreadable.Wrap(err, "packed view")
	}
	if len(data) > maxUnpackedBytes {
		return nil, Unreadable.New("packed view of more than %d bytes", maxUnpackedBytes)
	}
	view := &pb.WatchResponse{}
	if err := proto.Unmarshal(data, view); err != nil {
		return nil, Unreadable.Wrap(err, "packed view")
	}
	return view, nil
}
