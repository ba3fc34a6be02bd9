package rpc

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against a compressed view that differs from the original or is hardly smaller: a view
// of 200 entries must take less than half of its bytes, although each entry has a random
// incarnation.
func TestPackedViewUnpacksUnchanged(t *testing.T) {
	view := &pb.WatchResponse{Version: 7, Full: true, Revision: 3, LeaseMs: 1500}
	for i := range 200 {
		view.Entries = append(view.Entries, &pb.EntryInfo{Identity: &pb.EntryIdentity{
			Name: fmt.Sprint("entry-", i), Incarnation: uuid.NewString(), DataCentre: "dc-a",
			Region: "r", CallerAddress: fmt.Sprintf("10.1.0.%d:8144", i), PeerAddress: fmt.Sprintf("10.1.0.%d:7660", i),
		}})
	}
	packed, err := packedAnswer(view)
	if err != nil {
		t.Fatal(err)
	}
	if size, limit := proto.Size(packed), proto.Size(view)/2; size > limit {
		t.Errorf("%d bytes compressed, want at most %d", size, limit)
	}
	got, err := UnpackView(packed)
	if err != nil || !proto.Equal(got, view) {
		t.Fatalf("unpacked %v, %v", got, err)
	}
	if same, err := UnpackView(view); err != nil || same != view {
		t.Errorf("uncompressed answer became %v, %v", same, err)
	}
}

// Guards against data that is truncated or not a view, but accepted as one.
func TestUnreadablePackedViewsAreRefused(t *testing.T) {
	packed, err := packedAnswer(&pb.WatchResponse{Version: 7, Objects: []*pb.Object{{Name: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	var junk bytes.Buffer
	w := gzip.NewWriter(&junk)
	_, _ = w.Write([]byte{0xff, 0xff, 0xff})
	_ = w.Close()
	for name, data := range map[string][]byte{
		"cut": packed.Packed[:len(packed.Packed)/2], "no gzip": []byte("view"), "no message": junk.Bytes(),
	} {
		if resp, err := UnpackView(&pb.WatchResponse{Packed: data}); err == nil {
			t.Errorf("%s: decoded as %v", name, resp)
		}
	}
}

// packedAnswer returns an answer that consists of one compressed part.
func packedAnswer(resp *pb.WatchResponse) (*pb.WatchResponse, error) {
	part, err := PackPart(resp)
	return &pb.WatchResponse{Packed: part}, err
}
