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

const prompt = "[member=hotels] ask [request=m]"

func completion(res *caller.Result) FinishedRequest {
	return FinishedRequest{Class: "ask", Member: "hotels", Mark: "m", Prompt: prompt, Seed: 1, Tokens: 20, Result: res}
}

func atMostOnceCall(res *caller.Result) FinishedRequest {
	return FinishedRequest{Class: "receipt", Member: "hotels", Mark: "m", Path: "/receipts", AtMostOnce: true, Result: res}
}

func startedRecords(n int, member string) []journal.Record {
	var list []journal.Record
	for range n {
		list = append(list, journal.Record{Event: journal.RequestStarted, Mark: "m", Member: member, RequestID: member + "~x"})
	}
	return list
}

// Guards against an audit that misses a violation: every test that relies on the
// audit would pass wrongly.
func TestEachViolationIsCounted(t *testing.T) {
	completeText := answer.FullText(prompt, 1, 20)
	receipt := `{"member":"hotels","mark":"m","path":"/receipts","run":"1"}`
	ok := &caller.Result{Complete: true, Text: receipt, Status: http.StatusOK, Outcome: outcome.Ran}
	cases := []struct {
		name    string
		done    FinishedRequest
		records []journal.Record
		want    Counts
	}{
		{"whole", completion(&caller.Result{Complete: true, Text: completeText}), startedRecords(1, "hotels"), Counts{Complete: 1}},
		{"moved", completion(&caller.Result{Complete: true, Text: completeText}), startedRecords(2, "hotels"), Counts{Complete: 1}},
		{"a byte wrong", completion(&caller.Result{Complete: true, Text: completeText[:len(completeText)-1] + "x"}), startedRecords(1, "hotels"), Counts{Failed: 1}},
		{"no end", completion(&caller.Result{Text: completeText[:40], Accepted: true}), startedRecords(1, "hotels"), Counts{Failed: 1}},
		{"refused", completion(&caller.Result{Outcome: outcome.NotRun}), nil, Counts{RefusedNotRun: 1}},
		{"refused but ran", completion(&caller.Result{Outcome: outcome.NotRun}), startedRecords(1, "hotels"), Counts{RefusedNotRun: 1, FalseNotRun: 1}},
		{"refused after tokens", completion(&caller.Result{Outcome: outcome.NotRun, Accepted: true}), startedRecords(1, "hotels"), Counts{Failed: 1}},
		{"once", atMostOnceCall(ok), startedRecords(1, "hotels"), Counts{Complete: 1}},
		{"doubled", atMostOnceCall(ok), startedRecords(2, "hotels"), Counts{Complete: 1, DuplicateRuns: 1}},
		{"unknown", atMostOnceCall(&caller.Result{Outcome: outcome.Unknown}), startedRecords(1, "hotels"), Counts{Unknown: 1}},
		{"answer from nowhere", atMostOnceCall(ok), nil, Counts{Failed: 1}},
		{"under another member", atMostOnceCall(ok), startedRecords(1, "importers"), Counts{Complete: 1, WrongMember: 1}},
		{
			"another member's mark", completion(&caller.Result{Text: answer.Mark("importers"), Accepted: true}),
			startedRecords(1, "hotels"), Counts{Failed: 1, WrongMember: 1},
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
