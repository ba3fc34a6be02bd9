package control

import (
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (w *world) state(id string) pb.ServerState { return w.server(id).GetState() }

const (
	serving = pb.ServerState_SERVER_STATE_SERVING
	leaving = pb.ServerState_SERVER_STATE_LEAVING
	gone    = pb.ServerState_SERVER_STATE_GONE
)

// An entry starts and asks a leader that was cut off and replaced without
// knowing it. Its view may be older than one in force; the entry must get no
// view from it.
func TestFreshEntryWaitsForAQuorum(t *testing.T) {
	w := newWorld(t)
	w.apply(declare(1, 0, "ann", "a"))
	w.node.confirms = false
	id := w.send(&pb.WatchRequest{ClusterId: cluster, Entry: entryIdentity("e1", "1"), HoldMs: 600})
	w.advance(time.Second)
	if r, answered := w.replies[id]; answered {
		t.Fatalf("answered %v without a quorum", r.Response)
	}
}

// A leader whose quorum lease has run out gives no entry a lease on its view.
func TestLeaderWithoutLeaseGivesNone(t *testing.T) {
	w := newWorld(t)
	w.apply(declare(1, 0, "ann", "a"))
	version := w.State().ViewVersion()
	id := w.send(&pb.WatchRequest{ClusterId: cluster, Entry: entryIdentity("e1", "1"), KnownVersion: version + 99, HoldMs: 600})
	if r := w.replies[id]; r.Response.(*pb.WatchResponse).GetLeaseMs() == 0 {
		t.Fatal("no lease from a leader that has one")
	}
	w.node.leaseUntil = w.clock
	id = w.send(&pb.WatchRequest{ClusterId: cluster, Entry: entryIdentity("e1", "1"), KnownVersion: 1, HoldMs: 600})
	w.advance(time.Second)
	if r := w.replies[id]; r.Err == nil {
		t.Fatalf("got %v", r.Response)
	}
}

// A follower tells where the leader is.
func TestFollowerNamesTheLeader(t *testing.T) {
	w := newWorld(t)
	w.members = &pb.Membership{Members: []*pb.ReplicaMember{
		{Identity: &pb.ReplicaIdentity{Id: 2}, Address: "127.0.0.1:7"},
	}}
	held := w.send(&pb.WatchRequest{ClusterId: cluster, Entry: entryIdentity("e1", "1"), KnownVersion: 1, HoldMs: 600})
	w.follow(2)
	for _, id := range []uint64{held, w.send(&pb.StatusRequest{ClusterId: cluster})} {
		err, ok := w.replies[id].Err.(twirp.Error)
		if !ok || err.Code() != twirp.Unavailable || err.Meta("leader") != "127.0.0.1:7" {
			t.Errorf("call %d: %v", id, w.replies[id].Err)
		}
	}
}

// A server falls silent: it is GONE once its lease has run out, not before, and
// comes back with its next announcement.
func TestSilentServerIsGoneAfterItsLease(t *testing.T) {
	w := newWorld(t)
	w.engine("a")
	b := w.engine("b")
	w.advance(2 * time.Second)
	w.announced = w.announced[:1]
	w.advance(serverLease - 1500*time.Millisecond)
	if got := w.state("b"); got != serving {
		t.Fatalf("%v within its lease", got)
	}
	w.advance(2 * time.Second)
	if got := w.state("b"); got != gone || w.state("a") != serving {
		t.Fatalf("silent server %v, the other %v", got, w.state("a"))
	}
	w.report(b)
	if got := w.state("b"); got != serving {
		t.Errorf("back: %v", got)
	}
}

// The leader hears no entry for a while, or its process is stopped, or it is
// new. All servers' leases run out together though all serve; none may be GONE.
func TestDeafLeaderKeepsTheServers(t *testing.T) {
	for name, deafen := range map[string]func(*world){
		"no reports": func(w *world) {
			w.lastTold = w.clock + 20*time.Second
			for range 20 {
				w.advance(time.Second)
				if w.state("a") != serving {
					return
				}
			}
		},
		"reports of other replicas only": func(w *world) {
			w.lastTold = w.clock + 20*time.Second
			for range 20 {
				w.send(&pb.ReportRequest{ClusterId: cluster, Entry: entryIdentity("c2", ""), Replica: "10.0.0.2:1"})
				w.advance(time.Second)
				if w.state("a") != serving {
					return
				}
			}
		},
		"stopped process": func(w *world) { w.clock += 20 * time.Second },
		"new leader":      func(w *world) { w.follow(2); w.clock += 20 * time.Second; w.lead(3) },
	} {
		w := newWorld(t)
		w.engine("a")
		w.advance(2 * time.Second)
		deafen(w)
		for range 60 {
			w.tick()
			if got := w.state("a"); got != serving {
				t.Fatalf("%s: %v", name, got)
			}
			w.advance(50 * time.Millisecond)
		}
	}
}

// A server says that it leaves. The word of the second before, relayed by a
// slower entry, must not make it serve again.
func TestLateServingDoesNotUndoLeaving(t *testing.T) {
	w := newWorld(t)
	a := w.engine("a")
	a.Server.State = leaving
	w.report(a)
	if got := w.state("a"); got != leaving {
		t.Fatalf("not at once: %v", got)
	}
	a.Server.State = serving
	w.report(a)
	if got := w.state("a"); got != leaving {
		t.Fatalf("late word: %v", got)
	}
	w.advance(leavingSticks + 2*time.Second)
	if got := w.state("a"); got != serving {
		t.Errorf("it has come back to stay: %v", got)
	}
}

// A drain outlives the server's restart; a drain that is resent after another
// operator has taken it back is not applied again.
func TestDrainOutlivesRestartsAndResends(t *testing.T) {
	w := newWorld(t)
	a := w.engine("a")
	drain := &pb.DrainRequest{ClusterId: cluster, Server: "a", Drained: true, RequestId: "d1"}
	ask[*pb.DrainResponse](w, drain)
	a.Server.Incarnation = "i2"
	w.report(a)
	if !w.server("a").GetDrained() {
		t.Fatal("a restart undid the drain")
	}
	ask[*pb.DrainResponse](w, &pb.DrainRequest{ClusterId: cluster, Server: "a", RequestId: "d2"})
	if ask[*pb.DrainResponse](w, drain).GetServer().GetDrained() {
		t.Error("a resent drain was applied again")
	}
}

// One request crashes two servers, and all nine entries report both deaths. The
// view refuses it after the second server, not after the second report, and
// forgets it after the quarantine time.
func TestQuarantineCountsServersNotReports(t *testing.T) {
	w := newWorld(t)
	w.apply(declare(1, 0, "ann", "a"))
	suspect := &pb.Quarantine{Member: "m1", Fingerprint: 7}
	die := func(server string) int {
		for range 9 {
			w.send(&pb.ReportRequest{ClusterId: cluster, Deaths: []*pb.ServerDeath{
				{Server: server, Incarnation: "i1", Suspects: []*pb.Quarantine{suspect, {Member: "m2", Fingerprint: uint64(len(server))}}},
			}})
		}
		return len(w.State().View(0).GetQuarantine())
	}
	before := w.State().ViewVersion()
	if n := die("a"); n != 0 {
		t.Fatalf("%d after one death", n)
	}
	if got := w.State().View(before).GetSuspects(); len(got) != 2 {
		t.Fatalf("entries are told of %d suspects after one death, want 2", len(got))
	}
	if n := die("bb"); n != 1 {
		t.Fatalf("%d after two deaths", n)
	}
	version := w.State().ViewVersion()
	w.clock += time.Hour
	w.lead(2)
	w.advance(expireInterval + time.Second)
	if v := w.State().View(version); len(v.GetRemovedQuarantine()) != 1 || len(w.State().suspects.byKey) != 0 {
		t.Errorf("after the quarantine time: %v", v)
	}
}

// The offered work turns to long prompts for good. The planner's choice becomes
// one order at a time, within roles.max_away, and none while the declaration
// turns automatic changes off.
func TestMixShiftIsFollowedByOrders(t *testing.T) {
	for _, automatic := range []bool{true, false} {
		w := newWorld(t)
		d := &declaration.Declaration{Revision: 1, Author: "ann"}
		d.Models = []declaration.Model{{Name: "m", Version: "v1"}}
		d.BackendServers = []declaration.BackendServerRule{{Prefix: "checks", Fencing: declaration.FencingChecked}}
		d.Roles = declaration.Roles{Automatic: automatic, MaxAway: 1, ChangeTime: time.Second, GoodputWeight: 1, ChangeWeight: 1}
		w.apply(d.ToProto())
		for _, id := range []string{"checks-1", "checks-2", "checks-3", "checks-4"} {
			w.engine(id)
		}
		for range 600 {
			w.send(&pb.ReportRequest{ClusterId: cluster, Demand: []*pb.Demand{
				{Model: "m", Profile: "p", PrefillTokens: 40_000, DecodeTokens: 10},
			}})
			w.advance(time.Second)
			if w.State().away("m") > 1 {
				t.Fatal("more engines away than allowed")
			}
			if n := len(w.orders); n > 0 {
				last := w.orders[n-1]
				for _, a := range w.announced {
					if a.GetServer().GetId() == last.Server && a.OrderId != last.Order.ID {
						w.done(a)
						a.Server.Role = w.State().orders[last.Server].proto.GetRole()
					}
				}
			}
		}
		if changed := w.State().roleChanges > 0; changed != automatic {
			t.Errorf("automatic %v: %d role changes", automatic, w.State().roleChanges)
		}
	}
}
