package audit

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

const ask = "[member=hotels] ask [request=m]"

func completion(res *caller.Result) FinishedRequest {
	return FinishedRequest{Class: "ask", Member: "hotels", Mark: "m", Prompt: ask, Seed: 1, Tokens: 20, Result: res}
}

func once(res *caller.Result) FinishedRequest {
	return FinishedRequest{Class: "receipt", Member: "hotels", Mark: "m", Path: "/receipts", AtMostOnce: true, Result: res}
}

func started(n int, member string) []journal.Record {
	var list []journal.Record
	for range n {
		list = append(list, journal.Record{Event: journal.RequestStarted, Mark: "m", Member: member, RequestID: member + "~x"})
	}
	return list
}

// An audit that misses a broken promise makes every proof worthless.
func TestEachBrokenPromiseIsCounted(t *testing.T) {
	whole := answer.FullText(ask, 1, 20)
	receipt := `{"member":"hotels","mark":"m","path":"/receipts","run":"1"}`
	ok := &caller.Result{Complete: true, Text: receipt, Status: http.StatusOK, Outcome: outcome.Ran}
	cases := []struct {
		name    string
		done    FinishedRequest
		records []journal.Record
		want    Counts
	}{
		{"whole", completion(&caller.Result{Complete: true, Text: whole}), started(1, "hotels"), Counts{Complete: 1}},
		{"moved", completion(&caller.Result{Complete: true, Text: whole}), started(2, "hotels"), Counts{Complete: 1}},
		{"a byte wrong", completion(&caller.Result{Complete: true, Text: whole[:len(whole)-1] + "x"}), started(1, "hotels"), Counts{Failed: 1}},
		{"no end", completion(&caller.Result{Text: whole[:40], Accepted: true}), started(1, "hotels"), Counts{Failed: 1}},
		{"refused", completion(&caller.Result{Outcome: outcome.NotRun}), nil, Counts{RefusedNotRun: 1}},
		{"refused but ran", completion(&caller.Result{Outcome: outcome.NotRun}), started(1, "hotels"), Counts{RefusedNotRun: 1, FalseNotRun: 1}},
		{"refused after tokens", completion(&caller.Result{Outcome: outcome.NotRun, Accepted: true}), started(1, "hotels"), Counts{Failed: 1}},
		{"once", once(ok), started(1, "hotels"), Counts{Complete: 1}},
		{"doubled", once(ok), started(2, "hotels"), Counts{Complete: 1, DuplicateRuns: 1}},
		{"unknown", once(&caller.Result{Outcome: outcome.Unknown}), started(1, "hotels"), Counts{Unknown: 1}},
		{"answer from nowhere", once(ok), nil, Counts{Failed: 1}},
		{"under another member", once(ok), started(1, "importers"), Counts{Complete: 1, WrongMember: 1}},
		{
			"another member's mark", completion(&caller.Result{Text: answer.Mark("importers"), Accepted: true}),
			started(1, "hotels"), Counts{Failed: 1, WrongMember: 1},
		},
	}
	for _, c := range cases {
		got := Check([]FinishedRequest{c.done}, c.records)
		got.Findings = nil
		c.want.Requests = 1
		if diff := cmp.Diff(c.want, *got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

func TestSharedCacheSaltIsCounted(t *testing.T) {
	records := []journal.Record{{Salt: "s", Member: "hotels"}, {Salt: "s", Member: "importers"}}
	if got := Check(nil, records); got.WrongMember != 1 {
		t.Fatalf("wrong_member %d, want 1", got.WrongMember)
	}
}
