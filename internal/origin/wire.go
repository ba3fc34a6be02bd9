package origin

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// ToWire returns the message that tells of an origin.
func ToWire(k Key, o decision.Origin, keep time.Duration) *pb.StreamOrigin {
	return &pb.StreamOrigin{
		Member: k.Member, RequestId: k.RequestID, Pool: o.Pool, SoftwareVersion: o.Version,
		Incarnation: o.Incarnation, KeepMs: uint32(keep.Milliseconds()),
	}
}

// FromWire returns the origin that a message tells of.
func FromWire(o *pb.StreamOrigin) decision.Origin {
	return decision.Origin{Pool: o.GetPool(), Version: o.GetSoftwareVersion(), Incarnation: o.GetIncarnation()}
}

// Remember stores the origins of a message. now is the time since boot.
func (s *Store) Remember(origins []*pb.StreamOrigin, now time.Duration) {
	for _, o := range origins {
		k, keep := Key{Member: o.GetMember(), RequestID: o.GetRequestId()}, time.Duration(o.GetKeepMs())*time.Millisecond
		if o.GetExpected() {
			s.Expect(k, FromWire(o), now, keep)
			continue
		}
		s.Put(k, FromWire(o), now, keep)
	}
}

// Find returns the origin that a message asks for, nil if it is not known. now is the time since boot.
func (s *Store) Find(q *pb.FindOriginRequest, now time.Duration) *pb.StreamOrigin {
	k := Key{Member: q.GetMember(), RequestID: q.GetRequestId()}
	o, expected, known := s.get(k, now)
	if !known {
		return nil
	}
	found := ToWire(k, o, 0)
	found.Expected = expected
	return found
}
