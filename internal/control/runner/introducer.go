package runner

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// introduceTimeout bounds one introduction; the next one follows soon.
const introduceTimeout = 400 * time.Millisecond

// introducer sends introductions, at most one at a time to each replica.
type introducer struct {
	auth       *rpc.Auth
	log        *slog.Logger
	failureLog rate.Sometimes

	mu sync.Mutex
	// clients holds a client for each replica; one that has failed is replaced, since its
	// connections may be silent for good.
	clients map[string]*http.Client
	busy    map[string]bool
	wg      conc.WaitGroup
}

func newIntroducer(auth *rpc.Auth, log *slog.Logger) *introducer {
	return &introducer{
		auth: auth, log: log, clients: make(map[string]*http.Client), busy: make(map[string]bool),
		failureLog: rate.Sometimes{First: refusalLogBurst, Interval: refusalLogInterval},
	}
}

func (i *introducer) wait() { i.wg.Wait() }

// send starts the calls and does not wait for them.
func (i *introducer) send(e control.Introduce) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, address := range e.To {
		if i.busy[address] {
			continue
		}
		if i.clients[address] == nil {
			i.clients[address] = i.auth.Client()
		}
		i.busy[address] = true
		client := i.clients[address]
		i.wg.Go(func() { i.call(address, client, e.Request) })
	}
}

func (i *introducer) call(address string, client *http.Client, req *pb.IntroduceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), introduceTimeout)
	defer cancel()
	_, err := pb.NewOperatorProtobufClient(i.auth.URL(address), client).Introduce(ctx, req)
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, address)
	if err != nil {
		delete(i.clients, address)
		client.CloseIdleConnections()
		i.failureLog.Do(func() { i.log.Info("introduction failed", "to", address, "error", err.Error()) })
	}
}
