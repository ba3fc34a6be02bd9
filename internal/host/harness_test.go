package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// testTimeout ends a test that hangs. No assertion depends on it.
const testTimeout = 20 * time.Second

// leadingControl is a control leader that accepts and records every report.
type leadingControl struct {
	pb.Control
	mu      sync.Mutex
	reports []*pb.ReportRequest
}

func (f *leadingControl) Report(_ context.Context, req *pb.ReportRequest) (*pb.ReportResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, req)
	return &pb.ReportResponse{}, nil
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// keyFile returns the path of a file with a shared key.
func keyFile(t *testing.T) string {
	t.Helper()
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("a key of at least sixteen bytes"), 0o600); err != nil {
		t.Fatal(err)
	}
	return key
}
