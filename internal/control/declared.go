package control

import (
	"fmt"
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxAccepted is how many accepted revisions are remembered to answer repeated calls: at
// 3,700 changes a day, 1,000 revisions cover six hours of operators' retries.
const maxAccepted = 1000

// declarationState holds the declaration in force.
type declarationState struct {
	proto  *pb.Declaration
	parsed *declaration.Declaration
	reader *declaration.Reader
	// versions holds each object's view version in the order of the objects; positions maps
	// an object to its index in that order.
	versions  []uint64
	positions map[objectKey]int
	accepted  []*pb.AcceptedRevision
}

func newDeclarationState() declarationState {
	return declarationState{proto: &pb.Declaration{}, reader: declaration.NewReader()}
}

// applyDeclaration decides between concurrent operators.
//
// Failure: two operators apply different content under the same revision or on the same
// base, or repeat a call after a lost answer. Without the check of the base, the later call
// would silently revert the change of the earlier one. Without the record of accepted
// revisions, a repeated call would be refused although it was applied.
func (s *State) applyDeclaration(d *pb.Declaration, newestWins bool) *pb.ApplyResponse {
	current := s.declared.proto
	if newestWins {
		return s.applyNewest(d)
	}
	if accepted := s.declared.findAccepted(d.GetRevision()); accepted != nil {
		return s.answerRepeated(d, accepted)
	}
	switch {
	case d.GetRevision() <= current.GetRevision():
		return s.refuse(fmt.Sprintf("revision %d is not above the current %d by %s",
			d.GetRevision(), current.GetRevision(), current.GetAuthor()))
	case d.GetBase() != current.GetRevision():
		return s.refuse(fmt.Sprintf("base is %d, but revision %d by %s is in force; rebase on it",
			d.GetBase(), current.GetRevision(), current.GetAuthor()))
	}
	parsed, err := s.declared.reader.Read(d.GetRevision(), d.GetObjects())
	if err != nil {
		return s.refuse("the declaration can't be read: " + err.Error())
	}
	s.setDeclaration(d, parsed)
	return &pb.ApplyResponse{Accepted: true, CurrentRevision: d.GetRevision(), CurrentAuthor: d.GetAuthor()}
}

// applyNewest applies the rule for operators that don't know of each other and number their
// changes from one sequence: the highest revision wins. A revision that arrives again, or
// late, is accepted and changes nothing, so that an operator that lost an answer may repeat
// the call at any replica.
func (s *State) applyNewest(d *pb.Declaration) *pb.ApplyResponse {
	current := s.declared.proto
	if d.GetRevision() <= current.GetRevision() {
		return &pb.ApplyResponse{
			Accepted: true, Repeated: true,
			CurrentRevision: current.GetRevision(), CurrentAuthor: current.GetAuthor(),
		}
	}
	parsed, err := s.declared.reader.Read(d.GetRevision(), d.GetObjects())
	if err != nil {
		return s.refuse("the declaration can't be read: " + err.Error())
	}
	s.setDeclaration(d, parsed)
	return &pb.ApplyResponse{Accepted: true, CurrentRevision: d.GetRevision(), CurrentAuthor: d.GetAuthor()}
}

func (s *State) answerRepeated(d *pb.Declaration, accepted *pb.AcceptedRevision) *pb.ApplyResponse {
	if accepted.GetDigest() == d.GetDigest() && accepted.GetAuthor() == d.GetAuthor() {
		return &pb.ApplyResponse{
			Accepted: true, Repeated: true,
			CurrentRevision: s.Revision(), CurrentAuthor: s.declared.proto.GetAuthor(),
		}
	}
	return s.refuse(fmt.Sprintf("revision %d was taken by %s with other content",
		accepted.GetRevision(), accepted.GetAuthor()))
}

func (s *State) refuse(reason string) *pb.ApplyResponse {
	return &pb.ApplyResponse{
		CurrentRevision: s.Revision(), CurrentAuthor: s.declared.proto.GetAuthor(), Refusal: reason,
	}
}

// setDeclaration puts d into force. Unchanged objects keep their revision and version, so
// that a delta carries only what changed.
func (s *State) setDeclaration(d *pb.Declaration, parsed *declaration.Declaration) {
	declaration.SortObjects(d.GetObjects())
	old := s.declared
	s.bumpViewVersion()
	versions := make([]uint64, len(d.GetObjects()))
	for i, o := range d.GetObjects() {
		versions[i] = s.index
		o.Revision = d.GetRevision()
		j, ok := old.positions[objectKeyOf(o)]
		if !ok {
			continue
		}
		if previous := old.proto.GetObjects()[j]; string(previous.GetContent()) == string(o.GetContent()) {
			o.Revision, versions[i] = previous.GetRevision(), old.versions[j]
		}
	}
	s.declared.proto, s.declared.parsed, s.declared.versions = d, parsed, versions
	s.declared.positions = positionsOf(d.GetObjects())
	s.addObjectTombstones(old.proto.GetObjects())
	s.declared.rememberAccepted(d)
	s.bumpAllServerVersions()
}

// addObjectTombstones adds a tombstone for each of the old objects that is no longer
// declared.
func (s *State) addObjectTombstones(old []*pb.Object) {
	for _, o := range old {
		if _, stillDeclared := s.declared.positions[objectKeyOf(o)]; !stillDeclared {
			s.changes.addTombstone(&pb.Tombstone{Object: &pb.ObjectRef{Kind: o.GetKind(), Name: o.GetName()}})
		}
	}
}

// objectKey identifies an object of a declaration.
type objectKey struct{ kind, name string }

func objectKeyOf(o *pb.Object) objectKey { return objectKey{o.GetKind(), o.GetName()} }

func positionsOf(objects []*pb.Object) map[objectKey]int {
	positions := make(map[objectKey]int, len(objects))
	for i, o := range objects {
		positions[objectKeyOf(o)] = i
	}
	return positions
}

func (d *declarationState) findAccepted(revision uint64) *pb.AcceptedRevision {
	i, ok := slices.BinarySearchFunc(d.accepted, revision, func(a *pb.AcceptedRevision, r uint64) int {
		switch {
		case a.GetRevision() < r:
			return -1
		case a.GetRevision() > r:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return d.accepted[i]
}

func (d *declarationState) rememberAccepted(p *pb.Declaration) {
	d.accepted = append(d.accepted, &pb.AcceptedRevision{
		Revision: p.GetRevision(), Digest: p.GetDigest(), Author: p.GetAuthor(),
	})
	if len(d.accepted) > maxAccepted {
		d.accepted = slices.Delete(d.accepted, 0, len(d.accepted)-maxAccepted)
	}
}

// modelRevision returns the revision that last changed the model's object.
func (d *declarationState) modelRevision(name string) uint64 {
	for _, o := range d.proto.GetObjects() {
		if o.GetKind() == "model" && o.GetName() == name {
			return o.GetRevision()
		}
	}
	return 0
}
