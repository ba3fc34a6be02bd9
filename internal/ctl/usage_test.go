package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Guards against a table that hides which windows are not reported, or why.
func TestPrintUsageShowsUnreportedWindows(t *testing.T) {
	const start, length = 1_800_000_000_000, 5000
	resp := &pb.UsageResponse{
		Configured: true, WindowMs: length, ReportDelayMs: 10_000, Leader: 2, Holder: "control-2", Term: 7,
		LastDecided: &pb.UsageSpan{Window: 360_000_002, StartUnixMs: start + 2*length, EndUnixMs: start + 3*length},
		Unreported: []*pb.UsageReport{
			{
				Span:    &pb.UsageSpan{Window: 360_000_001, StartUnixMs: start + length, EndUnixMs: start + 2*length},
				Members: 3, Requests: 41, Tries: 6, Calling: true, Result: "busy", Reason: "Service Unavailable",
			},
			{Span: &pb.UsageSpan{Window: 360_000_002, StartUnixMs: start + 2*length, EndUnixMs: start + 3*length}},
		},
	}
	for name, c := range map[string]struct {
		change func(r *pb.UsageResponse)
		want   string
	}{
		"windows that are not reported": {func(*pb.UsageResponse) {}, `usage accounting: windows of 5s, reports due 10s after
duty holder: replica 2 (control-2), token 7
last decided window: 360000002, 2027-01-15T08:00:10Z to 2027-01-15T08:00:15Z

WINDOW     START                 END                   MEMBERS  REQUESTS  TRIES  CALLING  LAST RESULT  REASON
360000001  2027-01-15T08:00:05Z  2027-01-15T08:00:10Z  3        41        6      true     busy         Service Unavailable
360000002  2027-01-15T08:00:10Z  2027-01-15T08:00:15Z  0        0         0      false    -            -
`},
		"all reported": {func(r *pb.UsageResponse) { r.Unreported = nil }, `usage accounting: windows of 5s, reports due 10s after
duty holder: replica 2 (control-2), token 7
last decided window: 360000002, 2027-01-15T08:00:10Z to 2027-01-15T08:00:15Z
all decided windows are reported
`},
		"fenced, nothing decided": {func(r *pb.UsageResponse) { r.Unreported, r.LastDecided, r.Fenced = nil, nil, true }, `usage accounting: windows of 5s, reports due 10s after
duty holder: replica 2 (control-2), token 7, fenced: another holder has a higher token
last decided window: none
`},
		"not configured": {func(r *pb.UsageResponse) { r.Configured, r.Unreported, r.LastDecided = false, nil, nil }, "usage accounting: not configured at the leader, replica 2\n"},
		"not configured any more": {func(r *pb.UsageResponse) {
			r.Configured, r.LastDecided = false, &pb.UsageSpan{Window: 360_000_002}
			r.Unreported = []*pb.UsageReport{{Span: &pb.UsageSpan{Window: 360_000_002}, Members: 3, Requests: 41}}
		}, `usage accounting: not configured at the leader, replica 2
last decided window: 360000002, - to -

WINDOW     START  END  MEMBERS  REQUESTS  TRIES  CALLING  LAST RESULT  REASON
360000002  -      -    3        41        0      false    -            -
`},
	} {
		shown := proto.CloneOf(resp)
		c.change(shown)
		var out bytes.Buffer
		if err := printUsage(&out, shown); err != nil || out.String() != c.want {
			t.Errorf("%s: %v, printed:\n%s\nwant:\n%s", name, err, out.String(), c.want)
		}
	}
}

// operatorOf serves the calls of a control replica and returns a client of it.
func operatorOf(t *testing.T, calls map[string]http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		if handle := calls[call]; handle != nil {
			handle(w, r)
			return
		}
		_ = twirp.WriteError(w, twirp.BadRoute.Error("no handler for path "+r.URL.Path))
	}))
	t.Cleanup(s.Close)
	auth, err := rpc.LoadAuth(settings.Auth{TrustedNetwork: true})
	if err != nil {
		t.Fatal(err)
	}
	return NewClient("test", []string{strings.TrimPrefix(s.URL, "http://")}, auth)
}

func answerWith(m proto.Message) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		data, _ := proto.Marshal(m)
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(data)
	}
}

// Guards against an error that does not say that the leader is of an older build.
func TestUsageOfAnOlderLeaderNamesTheCause(t *testing.T) {
	c := operatorOf(t, map[string]http.HandlerFunc{"ListReplicas": answerWith(&pb.ListReplicasResponse{})})
	_, err := c.Usage(t.Context())
	if !errorx.IsOfType(err, Refused) || !strings.Contains(err.Error(), "older build") || !strings.Contains(err.Error(), c.Leader()) {
		t.Errorf("error: %v", err)
	}
}

// Guards against an answer taken from a follower of an older build, while the leader is
// already of a newer one.
func TestUsageIsAskedOfTheLeader(t *testing.T) {
	leader := operatorOf(t, map[string]http.HandlerFunc{
		"ListReplicas": answerWith(&pb.ListReplicasResponse{}),
		"Usage":        answerWith(&pb.UsageResponse{Term: 7}),
	})
	follower := operatorOf(t, map[string]http.HandlerFunc{"ListReplicas": func(w http.ResponseWriter, _ *http.Request) {
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unavailable, "this replica does not lead").WithMeta("leader", leader.Leader()))
	}})
	follower.addresses = append(follower.addresses, leader.Leader())
	if resp, err := follower.Usage(t.Context()); err != nil || resp.GetTerm() != 7 {
		t.Errorf("answer %v, error %v", resp, err)
	}
}
