package control

import (
	"fmt"
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxAccepted is how many accepted revisions are remembered for resent calls:
// at 3,700 changes a day, 1,000 are six hours of operators' retries.
const maxAccepted = 1000

// declared is the declaration in force.
type declared struct {
	proto  *pb.Declaration
	parsed *declaration.Declaration
	reader *declaration.Reader
	// versions holds each object's view version, in the order of the objects, and places
	// finds an object in that order.
	versions []uint64
	places   map[objectKey]int
	accepted []*pb.AcceptedRevision
}

func newDeclared() declared {
	return declared{proto: &pb.Declaration{}, reader: declaration.NewReader()}
}

// applyDeclaration decides which of racing operators wins.
//
// Failure: two operators apply different content under the same number or the
// same base, or resend after a lost answer. Without the compare with base the
// later one would silently revert the earlier one's change; without the memory
// of accepted revisions a resent call would look refused although it won.
func (s *State) applyDeclaration(d *pb.Declaration, newestWins bool) *pb.ApplyResponse {
	current := s.declared.proto
	if newestWins {
		return s.applyNewest(d)
	}
	if past := s.declared.find(d.GetRevision()); past != nil {
		return s.answerAgain(d, past)
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

// applyNewest is the rule where operators don't know of each other and number
// their changes from one sequence: the highest revision counts. One that comes
// again, or late, is accepted and changes nothing, so that an operator who has
// lost an answer may send the same to any replica.
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

func (s *State) answerAgain(d *pb.Declaration, past *pb.AcceptedRevision) *pb.ApplyResponse {
	if past.GetDigest() == d.GetDigest() && past.GetAuthor() == d.GetAuthor() {
		return &pb.ApplyResponse{
			Accepted: true, Repeated: true,
			CurrentRevision: s.Revision(), CurrentAuthor: s.declared.proto.GetAuthor(),
		}
	}
	return s.refuse(fmt.Sprintf("revision %d was taken by %s with other content",
		past.GetRevision(), past.GetAuthor()))
}

func (s *State) refuse(why string) *pb.ApplyResponse {
	return &pb.ApplyResponse{
		CurrentRevision: s.Revision(), CurrentAuthor: s.declared.proto.GetAuthor(), Refusal: why,
	}
}

// setDeclaration puts d in force. Objects that did not change keep their
// revision and version, so that a delta carries only what changed.
func (s *State) setDeclaration(d *pb.Declaration, parsed *declaration.Declaration) {
	declaration.SortObjects(d.GetObjects())
	old := s.declared
	s.touchView()
	versions := make([]uint64, len(d.GetObjects()))
	for i, o := range d.GetObjects() {
		versions[i] = s.index
		o.Revision = d.GetRevision()
		j, ok := old.places[objectKeyOf(o)]
		if !ok {
			continue
		}
		if was := old.proto.GetObjects()[j]; string(was.GetContent()) == string(o.GetContent()) {
			o.Revision, versions[i] = was.GetRevision(), old.versions[j]
		}
	}
	s.declared.proto, s.declared.parsed, s.declared.versions = d, parsed, versions
	s.declared.places = placesOf(d.GetObjects())
	s.buryObjects(old.proto.GetObjects())
	s.declared.remember(d)
	s.touchFencing()
}

// buryObjects leaves a tombstone for each of the old objects that is declared no more.
func (s *State) buryObjects(old []*pb.Object) {
	for _, o := range old {
		if _, stays := s.declared.places[objectKeyOf(o)]; !stays {
			s.changes.bury(&pb.Tombstone{Object: &pb.ObjectRef{Kind: o.GetKind(), Name: o.GetName()}})
		}
	}
}

// objectKey names an object of a declaration.
type objectKey struct{ kind, name string }

func objectKeyOf(o *pb.Object) objectKey { return objectKey{o.GetKind(), o.GetName()} }

func placesOf(objects []*pb.Object) map[objectKey]int {
	places := make(map[objectKey]int, len(objects))
	for i, o := range objects {
		places[objectKeyOf(o)] = i
	}
	return places
}

func (d *declared) find(revision uint64) *pb.AcceptedRevision {
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

func (d *declared) remember(p *pb.Declaration) {
	d.accepted = append(d.accepted, &pb.AcceptedRevision{
		Revision: p.GetRevision(), Digest: p.GetDigest(), Author: p.GetAuthor(),
	})
	if len(d.accepted) > maxAccepted {
		d.accepted = slices.Delete(d.accepted, 0, len(d.accepted)-maxAccepted)
	}
}

// modelRevision is the revision that last changed the model's object.
func (d *declared) modelRevision(name string) uint64 {
	for _, o := range d.proto.GetObjects() {
		if o.GetKind() == "model" && o.GetName() == name {
			return o.GetRevision()
		}
	}
	return 0
}
