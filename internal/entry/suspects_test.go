package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// reportedScores returns the scores of the suspects that the last step reported to control.
func (w *harness) reportedScores() []uint32 {
	var scores []uint32
	for _, report := range effectsOf[Report](w.effects) {
		for _, death := range report.Request.Deaths {
			for _, q := range death.Suspects {
				scores = append(scores, q.Score)
			}
		}
	}
	return scores
}

// Guards against a request that crashes servers late in its answer, at another entry each time: no
// entry would ever have a whole crash to report.
func TestLateCrashIsReportedWithItsScore(t *testing.T) {
	w := newHarness(t)
	w.view(serving(2)...)
	w.arrive("dossier")
	d := w.singleDispatch()
	w.step(AttemptProgress{RequestID: "dossier", Attempt: d.Attempt, Tokens: probationTokens})
	w.endAttempt(d, func(ev *AttemptEnded) { ev.ServerDied, ev.Tokens = true, probationTokens })
	if got := w.reportedScores(); len(got) != 1 || got[0] != lateCrashScore {
		t.Fatalf("reported scores %v", got)
	}
}

// Guards against a request that crashes a server before its first token, and whose end is processed
// after that of another request there: nothing had shown yet that it was started.
func TestOwnEndCompletesTheCharge(t *testing.T) {
	w := newHarness(t)
	w.view(serving(1)...)
	w.arrive("r1")
	first := w.singleDispatch()
	w.arrive("crashing")
	crashing := w.singleDispatch()
	w.advance(10 * assumedStartedAfter)
	started := func(ev *AttemptEnded) { ev.ServerDied, ev.Elapsed = true, 10*assumedStartedAfter }
	w.endAttempt(first, started)
	if got := w.reportedScores(); len(got) != 1 || got[0] != earlyCrashScore {
		t.Fatalf("reported scores at the first end %v", got)
	}
	w.endAttempt(crashing, started)
	if got := w.reportedScores(); len(got) != 1 || got[0] != earlyCrashScore {
		t.Fatalf("reported scores at the request's own end %v", got)
	}
}

// Guards against a further crash by a request that control has quarantined for the last one: the
// notice is on its way, and the request would be sent again at once.
func TestChargedSuspectWaitsForControl(t *testing.T) {
	w := newHarness(t)
	w.view(serving(3)...)
	dossier := w.arrival("dossier", "hotels")
	suspect := &pb.Quarantine{Member: "hotels", Fingerprint: dossier.Fingerprint}
	w.delta(&pb.WatchResponse{Suspects: []*pb.Quarantine{suspect}})
	w.step(dossier)
	w.advance(suspectStartDelay)
	w.renew()
	d := w.singleDispatch()
	w.step(AttemptProgress{RequestID: "dossier", Attempt: d.Attempt, Tokens: probationTokens})
	w.endAttempt(d, func(ev *AttemptEnded) { ev.ServerDied, ev.Tokens = true, probationTokens })
	if again := effectsOf[Dispatch](w.effects); len(again) != 0 {
		t.Fatalf("sent again at once: %v", again)
	}
	w.delta(&pb.WatchResponse{Quarantine: []*pb.Quarantine{suspect}})
	if r := w.singleRefusal(); r.Code != outcome.CodeQuarantined {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against one crash that is charged twice, as a caller has sent the same request twice.
func TestOneDeathIsChargedOnce(t *testing.T) {
	w := newHarness(t)
	w.view(serving(3)...)
	w.r.servers.byID["engine-1"].pb.Drained, w.r.servers.byID["engine-2"].pb.Drained = true, true
	var attempts []Dispatch
	for i := range 2 {
		twin := w.arrival(fmt.Sprint("twin-", i), "hotels")
		w.step(twin)
		d := w.singleDispatch()
		w.startAttempt(d)
		attempts = append(attempts, d)
	}
	w.advance(time.Second)
	for _, d := range attempts {
		w.endAttempt(d, serverDied)
		if refused := effectsOf[Refuse](w.effects); len(refused) != 0 {
			t.Fatalf("refused after one death: %v", refused)
		}
	}
}

// Guards against a request that is sent to the server that has just failed it, once some earlier
// request of the entry ran on a server that crashed.
func TestFailedServerIsAvoidedBesideSuspects(t *testing.T) {
	w := newHarness(t)
	w.view(serving(3)...)
	w.arrive("suspect")
	first := w.singleDispatch()
	w.startAttempt(first)
	w.endAttempt(first, serverDied)
	w.step(CallerDisconnected{RequestID: "suspect"})
	w.advance(time.Second)
	w.renew()
	w.arrive("other-request")
	d := w.singleDispatch()
	q := w.r.requests["other-request"]
	q.failedServers = append(q.failedServers, d.Server)
	w.r.detach(q)
	fleet := w.r.fleet(q)
	for _, s := range fleet.Servers {
		if s.ID == d.Server && s.Usable {
			t.Errorf("%s is usable, which has just failed the request", s.ID)
		}
	}
}

// Guards against a request whose prompt crashes each engine that prefills it: a prefill alone does not
// run a request, so that its end charged nobody.
func TestCrashDuringSeparatePrefillIsCharged(t *testing.T) {
	w := newHarness(t)
	w.view(serving(2)...)
	w.arrive("r1")
	d := w.singleDispatch()
	w.advance(time.Second)
	w.endAttempt(d, func(ev *AttemptEnded) {
		ev.Outcome, ev.ServerDied, ev.Elapsed = outcome.NotRun, true, time.Second
		ev.AtPrefillServer, ev.PrefillBroken = true, true
	})
	if got := w.reportedScores(); len(got) != 1 || got[0] != earlyCrashScore {
		t.Fatalf("reported scores %v", got)
	}
}

// Guards against the quarantine of a request that many callers send, since two servers were lost under
// it: a request that crashes each server that runs it gets no whole answer.
func TestRequestThatGotAnAnswerIsNoSuspect(t *testing.T) {
	w := newHarness(t)
	w.view(serving(4)...)
	lookup := func(id string) Dispatch {
		ev := w.arrival(id, "hotels")
		ev.Fingerprint = 7
		w.step(ev)
		d := w.singleDispatch()
		w.startAttempt(d)
		return d
	}
	w.endAttempt(lookup("first"), func(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran })
	for i := range 3 {
		w.advance(time.Second)
		w.renew()
		w.endAttempt(lookup(fmt.Sprint("lost-", i)), serverDied)
		if got := w.reportedScores(); len(got) != 0 {
			t.Fatalf("reported scores %v", got)
		}
		w.step(CallerDisconnected{RequestID: fmt.Sprint("lost-", i)})
	}
	w.advance(exonerationTime)
	w.renew()
	w.reportState(0, engineapi.StateServing)
	w.endAttempt(lookup("later"), serverDied)
	if got := w.reportedScores(); len(got) != 1 {
		t.Fatalf("reported scores %v after %v without an answer", got, exonerationTime)
	}
}

// Guards against the quarantine of a request under which a server was only cut off from the entry: what was
// charged for it is taken back at control and at the other entries once the server answers.
func TestServerThatAnswersIsNoCrash(t *testing.T) {
	w := newHarness(t)
	w.view(serving(2)...)
	w.arrive("r1")
	d := w.singleDispatch()
	w.startAttempt(d)
	w.endAttempt(d, serverDied)
	index := int(d.Server[len(d.Server)-1] - '0')
	w.advance(aliveProofDelay / 2)
	w.reportState(index, engineapi.StateServing)
	if len(w.r.suspects.byKey) != 1 {
		t.Fatal("taken back by an answer that may be from before the crash")
	}
	w.advance(aliveProofDelay)
	w.reportState(index, engineapi.StateServing)
	reports := effectsOf[Report](w.effects)
	if len(w.r.suspects.byKey[quarantineKey{member: "hotels", fingerprint: 2}].deaths) != 0 {
		t.Error("the request is still charged here")
	}
	w.renew()
	w.step(Tick{})
	reports = append(reports, effectsOf[Report](w.effects)...)
	if len(reports) != 1 || len(reports[0].Request.Alive) != 1 {
		t.Errorf("control was not told: %v", reports)
	}
}

// Guards against two crashes, whole answers between them, that quarantine a harmless request: control
// would add them up.
func TestWholeAnswerClearsASuspectAtControl(t *testing.T) {
	w := newHarness(t)
	w.view(serving(2)...)
	w.arrive("r1")
	first := w.singleDispatch()
	w.startAttempt(first)
	w.endAttempt(first, serverDied)
	w.advance(maxStagger)
	w.renew()
	second := w.singleDispatch()
	w.startAttempt(second)
	w.endAttempt(second, func(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran })
	reports := effectsOf[Report](w.effects)
	if len(reports) != 1 || len(reports[0].Request.Cleared) != 1 {
		t.Fatalf("control was not told: %v", w.effects)
	}
}

// Guards against a memory of answers that grows with the requests.
func TestMemoryOfAnswersIsBounded(t *testing.T) {
	table := newSuspectTable()
	for i := range 3 * maxExonerated {
		table.complete((&request{fingerprint: uint64(i)}).key(), time.Second)
	}
	if n := len(table.exonerated.last); n > maxExonerated || len(table.exonerated.order) > maxExonerated {
		t.Errorf("%d requests are remembered", n)
	}
	table.complete((&request{fingerprint: 1}).key(), time.Second+exonerationTime)
	if n := len(table.exonerated.last); n != 1 {
		t.Errorf("%d requests are remembered after %v", n, exonerationTime)
	}
}

// Guards against entries that judge one crash differently, as the word of what ran on a server reaches them
// at different times: the one that holds it for doubtful would send the request on.
func TestJudgementOfTheEntryThatSawTheCrashCounts(t *testing.T) {
	w := newHarness(t)
	w.view(serving(3)...)
	noticed := func(server string, q *pb.Quarantine) {
		w.step(SuspectsNoticed{Notice: &pb.SuspectNotice{
			ClusterId: "test", Entry: "entry-b1", Deaths: []*pb.ServerDeath{{Server: server, Incarnation: "life-1", Suspects: []*pb.Quarantine{q}}},
		}})
	}
	crashing := func(score uint32, judged bool) *pb.Quarantine {
		return &pb.Quarantine{Member: "hotels", Fingerprint: 7, Score: score, Judged: judged}
	}
	noticed("engine-0", crashing(scorePerCrash, false))
	noticed("engine-1", &pb.Quarantine{Member: "importers", Fingerprint: 8, Score: lateCrashScore})
	w.advance(verdictDelay)
	w.step(Tick{})
	noticed("engine-1", crashing(scorePerCrash, false))
	noticed("engine-0", crashing(scorePerCrash, true))
	noticed("engine-1", crashing(scorePerCrash, true))
	w.renew()
	again := w.arrival("sent-again", "hotels")
	again.Fingerprint = 7
	w.step(again)
	if r := w.singleRefusal(); r.Code != outcome.CodeQuarantined {
		t.Fatalf("refusal %+v", r)
	}
}
