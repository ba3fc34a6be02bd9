package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against a leader that sends no heartbeats, and followers that take none, while a snapshot is
// written to a slow disk.
func TestHeartbeatsDoNotWaitForASnapshot(t *testing.T) {
	o := options(t.TempDir())
	s, _ := mustOpen(t, o)
	data := []byte("state")
	meta := &pb.SnapshotMeta{Index: 1, Term: 1, Membership: o.Bootstrap}
	consensus.SetSnapshotChecksum(meta, data)
	// A write to this file waits until somebody reads from it.
	slow := filepath.Join(o.Dir, snapshotName(meta)+snapshotTemp)
	if err := syscall.Mkfifo(slow, fileMode); err != nil {
		t.Fatal(err)
	}
	saved := make(chan error, 1)
	go func() { saved <- s.SaveSnapshot(meta, data) }()
	time.Sleep(100 * time.Millisecond)

	heartbeat := &pb.StepRequest{
		From:     &pb.ReplicaIdentity{Id: 2, Incarnation: "2", Boot: 1, BootNonce: 1},
		Messages: []*pb.Message{{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 2, To: 1, Term: 1}},
	}
	admitted, identified, measured := make(chan error, 1), make(chan struct{}), make(chan struct{})
	go func() { admitted <- s.Admit(heartbeat, o.Bootstrap) }()
	go func() { s.Identity(); s.TargetIdentity(2, o.Bootstrap); close(identified) }()
	go func() { _, _ = s.Usage(); close(measured) }()
	const electionTimeout = 400 * time.Millisecond
	select {
	case <-admitted:
	case <-time.After(electionTimeout):
		t.Error("no heartbeat is admitted for an election timeout while a snapshot is written")
	}
	select {
	case <-identified:
	case <-time.After(electionTimeout):
		t.Error("no heartbeat can be sent for an election timeout while a snapshot is written")
	}
	select {
	case <-measured:
	case <-time.After(electionTimeout):
		t.Error("the control goroutine, which reports the folder's size, waits an election timeout for a snapshot")
	}

	f, err := os.Open(slow)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, f)
	_ = f.Close()
	<-saved
}
