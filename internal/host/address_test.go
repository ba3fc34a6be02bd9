package host

import (
	"log/slog"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Guards against an entry that tells others the address at which it listens behind a forwarder, which goes
// round the forwarder or leads nowhere.
func TestEntryTellsTheAddressAtWhichItIsReached(t *testing.T) {
	for _, listen := range []string{"", "127.0.0.1:0"} {
		set := &settings.Entry{
			Common:      settings.Common{Cluster: "test", Name: "entry-a1", Control: []string{"127.0.0.1:1"}, Auth: settings.Auth{TrustedNetwork: true}},
			PeerAddress: "127.0.0.1:0", ListenAddress: listen, MaxStreams: 10,
		}
		if listen != "" {
			set.PeerAddress = "127.0.0.9:7660"
		}
		h, err := New(set, slog.New(slog.DiscardHandler), "127.0.0.1:2")
		if err != nil {
			t.Fatal(err)
		}
		defer h.peerListener.Close()
		want := set.PeerAddress
		if listen == "" {
			want = h.peerListener.Addr().String()
		}
		if h.Identity.PeerAddress != want {
			t.Errorf("listening at %s, it tells %s, want %s", h.peerListener.Addr(), h.Identity.PeerAddress, want)
		}
	}
}
