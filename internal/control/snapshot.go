package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("control")

// BadSnapshot is the type of errors about snapshots that can't be read.
var BadSnapshot = Namespace.NewType("bad_snapshot")

// Snapshot returns the whole state in serialized form; replicas at the same index return
// the same bytes.
func (s *State) Snapshot() []byte {
	snap := &pb.StateSnapshot{
		Index: s.index, NowUnixMs: s.nowMS,
		Declaration: s.declared.proto, ObjectVersions: s.declared.versions, Accepted: s.declared.accepted,
		Servers: s.serverRecords(), Drained: slices.Sorted(maps.Keys(s.drained)),
		Entries: s.entryRecords(), Orders: s.orderRecords(),
		Claims: s.claims.records(), ClaimsForgottenUnixMs: s.claims.expiredBeforeMS,
		Suspects: s.suspects.sorted(), Tombstones: s.changes.tombstones,
		OldestDelta: s.changes.oldestDelta, ViewVersion: s.changes.version, RoleChanges: s.roleChanges,
		UsageDecided: s.usage.decided, UsagePending: s.usage.pending, ScaleTargets: s.scale.sorted(),
		Departed: s.departed.records(), ReplicaAddresses: s.replicas,
	}
	for _, id := range s.requests.ids {
		snap.Requests = append(snap.Requests, s.requests.byID[id])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snap)
	if err != nil {
		// Marshalling fails only for strings that are not UTF-8, and the state holds only
		// strings that were unmarshalled from proto messages.
		panic("control: snapshot: " + err.Error())
	}
	return data
}

// RestoreState returns the state that a snapshot holds. Errors: BadSnapshot.
func RestoreState(data []byte) (*State, error) {
	snap := &pb.StateSnapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return nil, BadSnapshot.Wrap(err, "message")
	}
	s := NewState()
	s.index, s.nowMS, s.roleChanges = snap.GetIndex(), snap.GetNowUnixMs(), snap.GetRoleChanges()
	if err := s.declared.restore(snap); err != nil {
		return nil, BadSnapshot.Wrap(err, "declaration")
	}
	s.restoreFleet(snap)
	s.restoreOrders(snap)
	s.claims.restore(snap)
	for _, suspect := range snap.GetSuspects() {
		s.suspects.byKey[keyOfSuspect(suspect)] = suspect
	}
	s.usage = usageState{decided: snap.GetUsageDecided(), pending: snap.GetUsagePending()}
	s.scale.apply(&pb.ScaleUpdate{Targets: snap.GetScaleTargets()})
	s.departed.restore(snap.GetDeparted())
	s.replicas = snap.GetReplicaAddresses()
	s.changes = changes{
		version: snap.GetViewVersion(), tombstones: snap.GetTombstones(), oldestDelta: snap.GetOldestDelta(),
	}
	return s, nil
}

func (d *declarationState) restore(snap *pb.StateSnapshot) error {
	d.accepted, d.versions = snap.GetAccepted(), snap.GetObjectVersions()
	if snap.GetDeclaration().GetRevision() == 0 {
		return nil
	}
	d.proto = snap.GetDeclaration()
	d.positions = positionsOf(d.proto.GetObjects())
	if len(d.versions) != len(d.proto.GetObjects()) {
		return BadSnapshot.New("%d versions for %d objects", len(d.versions), len(d.proto.GetObjects()))
	}
	parsed, err := d.reader.Read(d.proto.GetRevision(), d.proto.GetObjects())
	d.parsed = parsed
	return err
}

func (s *State) restoreFleet(snap *pb.StateSnapshot) {
	for _, r := range snap.GetServers() {
		s.servers[r.GetServer().GetId()] = &server{
			info: r.GetServer(), version: r.GetVersion(),
			pastIncarnations: r.GetPastIncarnations(), goneMS: r.GetGoneUnixMs(),
		}
	}
	for _, id := range snap.GetDrained() {
		s.drained[id] = true
	}
	for _, r := range snap.GetEntries() {
		s.entries[r.GetEntry().GetIdentity().GetName()] = &entry{
			info: r.GetEntry(), version: r.GetVersion(), pastIncarnations: r.GetPastIncarnations(),
		}
	}
}

func (s *State) restoreOrders(snap *pb.StateSnapshot) {
	for _, r := range snap.GetRequests() {
		s.requests.remember(r)
	}
	for _, r := range snap.GetOrders() {
		o := &order{
			proto: r.GetOrder(), wasSent: r.GetWasSent(),
			createdMS: r.GetCreatedUnixMs(), resolvedMS: r.GetResolvedUnixMs(),
			previousTerm: r.GetPreviousTerm(),
		}
		s.orders[r.GetOrder().GetServer()] = o
		// The record of the request refers to the order, so that it shows the latest state
		// too.
		if known := s.requests.find(o.proto.GetId()); known != nil {
			known.Order = o.proto
		}
	}
}

func (s *State) sortedServers() []*server {
	list := make([]*server, 0, len(s.servers))
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		list = append(list, s.servers[id])
	}
	return list
}

func (s *State) sortedEntries() []*entry {
	list := make([]*entry, 0, len(s.entries))
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		list = append(list, s.entries[name])
	}
	return list
}

func (s *State) serverRecords() []*pb.ServerRecord {
	var list []*pb.ServerRecord
	for _, sv := range s.sortedServers() {
		list = append(list, &pb.ServerRecord{
			Server: sv.info, Version: sv.version, PastIncarnations: sv.pastIncarnations, GoneUnixMs: sv.goneMS,
		})
	}
	return list
}

func (s *State) entryRecords() []*pb.EntryRecord {
	var list []*pb.EntryRecord
	for _, e := range s.sortedEntries() {
		list = append(list, &pb.EntryRecord{
			Entry: e.info, Version: e.version, PastIncarnations: e.pastIncarnations,
		})
	}
	return list
}

func (s *State) orderRecords() []*pb.OrderRecord {
	var list []*pb.OrderRecord
	for _, o := range s.sortedOrders() {
		list = append(list, &pb.OrderRecord{
			Order: o.proto, WasSent: o.wasSent, CreatedUnixMs: o.createdMS, ResolvedUnixMs: o.resolvedMS,
			PreviousTerm: o.previousTerm,
		})
	}
	return list
}

func (c *claims) records() []*pb.ClaimRecord {
	list := make([]*pb.ClaimRecord, 0, len(c.byKey))
	for key, known := range c.byKey {
		list = append(list, &pb.ClaimRecord{
			Claim: &pb.Claim{
				Member: key.member, Service: key.service, Key: key.key,
				RequestId: known.requestID, Fingerprint: known.fingerprint,
				Owner: &pb.EntryIdentity{Name: known.owner.name, Incarnation: known.owner.incarnation},
			},
			Status: known.status, Answer: known.answer, Answered: known.answerSequence, Ended: known.ended,
		})
	}
	slices.SortFunc(list, func(a, b *pb.ClaimRecord) int {
		return cmp.Or(
			cmp.Compare(a.GetClaim().GetMember(), b.GetClaim().GetMember()),
			cmp.Compare(a.GetClaim().GetService(), b.GetClaim().GetService()),
			cmp.Compare(a.GetClaim().GetKey(), b.GetClaim().GetKey()),
		)
	})
	return list
}

func (c *claims) restore(snap *pb.StateSnapshot) {
	c.expiredBeforeMS = snap.GetClaimsForgottenUnixMs()
	for _, r := range snap.GetClaims() {
		key := keyOf(r.GetClaim())
		keyMS, _ := keyTime(key.key)
		known := &claim{
			requestID: r.GetClaim().GetRequestId(), owner: ownerOf(r.GetClaim().GetOwner()),
			fingerprint: r.GetClaim().GetFingerprint(), status: r.GetStatus(),
			answer: r.GetAnswer(), answerSequence: r.GetAnswered(), ended: r.GetEnded(),
		}
		c.byKey[key] = known
		bucket := keyMS / claimBucketWidth.Milliseconds()
		c.buckets[bucket] = append(c.buckets[bucket], key)
		if known.status == pb.ClaimStatus_CLAIM_STATUS_RUNNING {
			c.addRunning(known.owner, key)
		}
		if len(known.answer.GetBody()) > 0 {
			c.answers = append(c.answers, key)
			c.answerBytes += len(known.answer.GetBody())
		}
	}
	c.sortAnswers()
}
