package proof

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/standin/uploads"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Guards against an entry that runs out of memory, or of connections, by clients that send large, slow or endless bodies
// over the system's own protocol.
func TestNativeEntryBearsCrowdsOfUploads(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	dir := filepath.Join(filepath.Dir(bin), "uploads")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	b, err := testbed.New(testbed.Options{
		BinDir: bin, Dir: dir, Deployment: Deployment, DeployDir: root + "/deploy", EnginesPerDataCentre: 1, EntriesPerDataCentre: 1,
		EntryMemoryMB: uploads.LowLimits.MemoryMB, EntryFiles: uploads.LowLimits.Files,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if err := b.Start(ctx); err != nil {
		t.Fatal(err)
	}
	entry := b.Entries[0]
	doors := []struct{ address, line string }{
		{entry.Address, "POST /v1/completions"}, {entry.Address, "POST " + engineapi.PathAnnounce}, {entry.Address, "GET /v1/entries"},
		{entry.Address, "GET /healthz"}, {entry.Address, "POST /svc/portal/x"}, {entry.Address, "POST /no/such/path"},
		// Other entries call here, with the shared key, which the crowd does not have.
		{entry.MetricsAddress, "POST " + pb.PeerPathPrefix + "Remember"},
	}
	for _, door := range doors {
		line := door.line
		for _, kind := range uploads.Kinds() {
			t.Run(line+" "+kind.Name, func(t *testing.T) {
				entry.Kill()
				if err := entry.Start(); err != nil {
					t.Fatal(err)
				}
				if err := b.WaitReady(ctx); err != nil {
					t.Fatal(err)
				}
				trial := uploads.Trial{
					Process: entry, Limits: uploads.LowLimits, Address: door.address, Clients: uploads.Clients, Upload: kind.Upload,
					Head: func(int) string {
						return line + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nAuthorization: Bearer " + testbed.MemberToken(Deployment, Members[0]) + "\r\n"
					},
					Ordinary: func() bool {
						err := b.WaitReady(ctx)
						if err != nil {
							t.Log(err)
						}
						return err == nil
					},
				}
				trial.Run(t)
			})
		}
	}
}
