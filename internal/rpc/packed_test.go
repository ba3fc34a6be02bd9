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

// A whole view of hundreds of entries must come out as it went in, in less than half of its bytes though each
// entry has an incarnation of its own.
func TestPackedViewIsTheView(t *testing.T) {
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
	if all, most := proto.Size(packed), proto.Size(view)/2; all > most {
		t.Errorf("%d bytes packed, at most %d", all, most)
	}
	got, err := UnpackView(packed)
	if err != nil || !proto.Equal(got, view) {
		t.Fatalf("unpacked %v, %v", got, err)
	}
	if same, err := UnpackView(view); err != nil || same != view {
		t.Errorf("an answer that is not packed became %v, %v", same, err)
	}
}

// Bytes that are cut, or that are no view, must not be taken for one.
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
			t.Errorf("%s: taken for %v", name, resp)
		}
	}
}

// packedAnswer gives an answer that is one packed part.
func packedAnswer(resp *pb.WatchResponse) (*pb.WatchResponse, error) {
	part, err := PackPart(resp)
	return &pb.WatchResponse{Packed: part}, err
}
