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

func completion(res *caller.Result) Done {
	return Done{Class: "ask", Member: "hotels", Mark: "m", Prompt: ask, Seed: 1, Tokens: 20, Result: res}
}

func once(res *caller.Result) Done {
	return Done{Class: "receipt", Member: "hotels", Mark: "m", Path: "/receipts", Once: true, Result: res}
}

func started(n int, member string) []journal.Record {
	var list []journal.Record
	for range n {
		list = append(list, journal.Record{Event: journal.Started, Mark: "m", Member: member, RequestID: member + "~x"})
	}
	return list
}

// An audit that misses a broken promise makes every proof worthless.
func TestEachBrokenPromiseIsCounted(t *testing.T) {
	whole := answer.Whole(ask, 1, 20)
	receipt := `{"member":"hotels","mark":"m","path":"/receipts","run":"1"}`
	ok := &caller.Result{Whole: true, Text: receipt, Status: http.StatusOK, Outcome: outcome.Ran}
	cases := []struct {
		name    string
		done    Done
		records []journal.Record
		want    Counts
	}{
		{"whole", completion(&caller.Result{Whole: true, Text: whole}), started(1, "hotels"), Counts{Whole: 1}},
		{"moved", completion(&caller.Result{Whole: true, Text: whole}), started(2, "hotels"), Counts{Whole: 1}},
		{"a byte wrong", completion(&caller.Result{Whole: true, Text: whole[:len(whole)-1] + "x"}), started(1, "hotels"), Counts{Cut: 1}},
		{"no end", completion(&caller.Result{Text: whole[:40], Accepted: true}), started(1, "hotels"), Counts{Cut: 1}},
		{"refused", completion(&caller.Result{Outcome: outcome.NotRun}), nil, Counts{RefusedNotRun: 1}},
		{"refused but ran", completion(&caller.Result{Outcome: outcome.NotRun}), started(1, "hotels"), Counts{RefusedNotRun: 1, NotRunRan: 1}},
		{"refused after tokens", completion(&caller.Result{Outcome: outcome.NotRun, Accepted: true}), started(1, "hotels"), Counts{Cut: 1}},
		{"once", once(ok), started(1, "hotels"), Counts{Whole: 1}},
		{"doubled", once(ok), started(2, "hotels"), Counts{Whole: 1, Doubled: 1}},
		{"unknown", once(&caller.Result{Outcome: outcome.Unknown}), started(1, "hotels"), Counts{Unknown: 1}},
		{"answer from nowhere", once(ok), nil, Counts{Cut: 1}},
		{"under another member", once(ok), started(1, "importers"), Counts{Whole: 1, WrongMember: 1}},
		{
			"another member's mark", completion(&caller.Result{Text: answer.Mark("importers"), Accepted: true}),
			started(1, "hotels"), Counts{Cut: 1, WrongMember: 1},
		},
	}
	for _, c := range cases {
		got := Check([]Done{c.done}, c.records)
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
