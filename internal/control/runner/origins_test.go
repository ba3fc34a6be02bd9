package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/origin"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func originClient(tb testing.TB) pb.Origins {
	tb.Helper()
	s := httptest.NewServer(pb.NewOriginsServer(&originHolder{cluster: "test", store: origin.NewStore()}))
	tb.Cleanup(s.Close)
	return pb.NewOriginsProtobufClient(s.URL, http.DefaultClient)
}

func streamOrigins(n, from int) *pb.RememberOriginsRequest {
	req := &pb.RememberOriginsRequest{ClusterId: "test"}
	for i := range n {
		key := origin.Key{Member: "hotels", RequestID: fmt.Sprintf("%016x", from+i)}
		req.Origins = append(req.Origins, origin.ToWire(key, decision.Origin{Pool: "lm", Version: "v1", Incarnation: "i-1"}, 10*time.Second))
	}
	return req
}

// Guards against a replica that keeps where streams of another deployment began, or tells it.
func TestOriginsAreKeptForTheOwnCluster(t *testing.T) {
	client, ctx := originClient(t), context.Background()
	if _, err := client.RememberOrigins(ctx, streamOrigins(2, 0)); err != nil {
		t.Fatal(err)
	}
	other := streamOrigins(1, 7)
	other.ClusterId = "another"
	if _, err := client.RememberOrigins(ctx, other); err == nil {
		t.Error("origins of another cluster are taken")
	}
	for id, want := range map[string]string{fmt.Sprintf("%016x", 1): "v1", fmt.Sprintf("%016x", 7): ""} {
		found, err := client.FindOrigin(ctx, &pb.FindOriginRequest{ClusterId: "test", Member: "hotels", RequestId: id})
		if got := found.GetSoftwareVersion(); got != want || (err == nil) != (want != "") {
			t.Errorf("%s: %q, %v", id, got, err)
		}
	}
	if _, err := client.FindOrigin(ctx, &pb.FindOriginRequest{ClusterId: "another", Member: "hotels", RequestId: fmt.Sprintf("%016x", 1)}); err == nil {
		t.Error("another cluster is told an origin")
	}
}

// BenchmarkOriginsTold measures a message with that many origins, at both ends of it.
func BenchmarkOriginsTold(b *testing.B) {
	for _, n := range []int{1, 14, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			client, ctx := originClient(b), context.Background()
			for i := 0; b.Loop(); i++ {
				if _, err := client.RememberOrigins(ctx, streamOrigins(n, i*n)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
