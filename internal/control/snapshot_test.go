package control

import (
	"bytes"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// drawCommand draws any command over a few names, so that commands affect the same objects.
func drawCommand(rt *rapid.T, nowMS int64) *pb.Command {
	name := func(label string) string { return label + strconv.Itoa(rapid.IntRange(1, 3).Draw(rt, label)) }
	c := claimOf(keyAt(nowMS-int64(rapid.IntRange(0, 7_200_000).Draw(rt, "age")), rapid.IntRange(1, 3).Draw(rt, "n")),
		name("r"), entryIdentity(name("e"), name("i")))
	cmd := &pb.Command{NowUnixMs: nowMS}
	switch rapid.IntRange(0, 9).Draw(rt, "op") {
	case 0:
		revision := uint64(rapid.IntRange(1, 9).Draw(rt, "revision"))
		cmd.Op = &pb.Command_Apply{Apply: &pb.ApplyRequest{Declaration: testDeclaration(revision, revision-1, name("a"), name("c"))}}
	case 1:
		cmd.Op = &pb.Command_Drain{Drain: &pb.DrainRequest{Server: name("s"), Drained: rapid.Bool().Draw(rt, "on"), RequestId: name("q")}}
	case 2:
		cmd.Op = &pb.Command_Register{Register: &pb.RegisterServers{Servers: []*pb.BackendServer{{
			Id: name("s"), Incarnation: name("i"), Kind: pb.ServerKind_SERVER_KIND_MODEL, Model: "m",
			State: pb.ServerState(rapid.IntRange(1, 4).Draw(rt, "state")),
		}}}}
	case 3:
		cmd.Op = &pb.Command_Order{Order: &pb.OrderUpdate{Order: &pb.Order{
			Id: name("o"), Server: name("s"), Incarnation: name("i"), Kind: pb.OrderKind_ORDER_KIND_SET_ROLE,
			State: pb.OrderState(rapid.IntRange(1, 5).Draw(rt, "state")),
		}}}
	case 4, 5:
		cmd.Op = &pb.Command_Claim{Claim: &pb.ClaimRequest{Claims: []*pb.Claim{c}}}
	case 6:
		cmd.Op = &pb.Command_Settle{Settle: &pb.SettleRequest{Settlements: []*pb.Settlement{{
			Claim: c, Status: pb.ClaimStatus(rapid.IntRange(3, 7).Draw(rt, "status")),
			Answer: &pb.StoredAnswer{Body: make([]byte, rapid.IntRange(0, 200).Draw(rt, "bytes"))},
		}}}}
	case 7:
		cmd.Op = &pb.Command_Quarantine{Quarantine: &pb.QuarantineUpdate{Deaths: []*pb.ServerDeath{{
			Server: name("s"), Incarnation: name("i"), Suspects: []*pb.Quarantine{{
				Member: name("m"), Fingerprint: 1, Score: uint32(rapid.IntRange(0, 4).Draw(rt, "score")),
			}},
		}}}}
	case 8:
		cmd.Op = &pb.Command_Expire{Expire: &pb.Expire{}}
		if rapid.Bool().Draw(rt, "entry") {
			info := &pb.EntryInfo{Identity: entryIdentity(name("e"), name("i"))}
			cmd.Op = &pb.Command_Entry{Entry: &pb.EntryUpdate{Entries: []*pb.EntryInfo{info}, Removed: []string{name("e")}}}
		}
	case 9:
		cmd.Op = &pb.Command_Departed{Departed: &pb.DepartedUpdate{Incarnations: []string{name("i"), name("left")}}}
	}
	return cmd
}

// One replica restarts from snapshots at arbitrary points, another never restarts. Both
// must stay in the same state, byte for byte, and an entry that applies deltas must see the
// same as one that requests the full view.
func TestRestoredReplicaStaysTheSame(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plain, restored := NewState(), NewState()
		follower := newDeltaFollower()
		now := startMS
		for index := uint64(1); index <= uint64(rapid.IntRange(5, 80).Draw(rt, "length")); index++ {
			now += int64(rapid.SampledFrom([]int{0, 1000, 600_000}).Draw(rt, "later"))
			data, err := proto.Marshal(drawCommand(rt, now))
			if err != nil {
				rt.Fatal(err)
			}
			entry := &pb.LogEntry{Term: 1, Index: index, Data: data}
			first, second := plain.Apply(entry), restored.Apply(entry)
			if !proto.Equal(first, second) {
				rt.Fatalf("answers differ: %v, %v", first, second)
			}
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				restored = mustRestore(rt, restored.Snapshot())
			}
			if rapid.Bool().Draw(rt, "poll") {
				follower.poll(rt, plain)
			}
		}
		if !bytes.Equal(plain.Snapshot(), restored.Snapshot()) {
			rt.Fatal("the states differ")
		}
	})
}

func mustRestore(rt *rapid.T, data []byte) *State {
	s, err := RestoreState(data)
	if err != nil {
		rt.Fatal(err)
	}
	return s
}

// deltaFollower maintains a view from deltas as an entry does.
type deltaFollower struct {
	version uint64
	items   map[string]string
}

func newDeltaFollower() *deltaFollower { return &deltaFollower{items: map[string]string{}} }

func (f *deltaFollower) poll(rt *rapid.T, s *State) {
	v := s.View(f.version)
	if v.GetFull() {
		f.items = map[string]string{}
	}
	for _, o := range v.GetRemovedObjects() {
		delete(f.items, "o/"+o.GetKind()+"/"+o.GetName())
	}
	for _, id := range v.GetRemovedServers() {
		delete(f.items, "s/"+id)
	}
	for _, name := range v.GetRemovedEntries() {
		delete(f.items, "e/"+name)
	}
	for _, q := range v.GetRemovedQuarantine() {
		delete(f.items, "q/"+q.GetMember())
	}
	f.put(v)
	f.version = v.GetVersion()
	full := newDeltaFollower()
	full.put(s.View(0))
	if len(full.items) != len(f.items) {
		rt.Fatalf("by deltas %v, in full %v", f.items, full.items)
	}
	for key, content := range full.items {
		if f.items[key] != content {
			rt.Fatalf("%s: by deltas %q, in full %q", key, f.items[key], content)
		}
	}
}

func (f *deltaFollower) put(v *pb.WatchResponse) {
	for _, o := range v.GetObjects() {
		f.items["o/"+o.GetKind()+"/"+o.GetName()] = string(o.GetContent())
	}
	for _, b := range v.GetServers() {
		f.items["s/"+b.GetId()] = b.GetIncarnation() + b.GetState().String() + strconv.FormatBool(b.GetDrained())
	}
	for _, e := range v.GetEntries() {
		f.items["e/"+e.GetIdentity().GetName()] = e.GetIdentity().GetIncarnation()
	}
	for _, q := range v.GetQuarantine() {
		f.items["q/"+q.GetMember()] = strconv.FormatInt(q.GetExpiresUnixMs(), 10)
	}
}
