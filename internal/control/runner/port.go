package runner

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// callerTimeout bounds the calls of servers and operators. They ask another replica after
// one second, except for calls with large bodies.
const callerTimeout = 900 * time.Millisecond

// Driver serves another protocol for backend servers and operators on listeners of its own.
// It only translates between that protocol and the Port.
type Driver interface {
	// Serve serves until Shutdown; its error ends the process.
	Serve(port *Port) error
	Shutdown(ctx context.Context) error
}

// Drivers are the additional protocols of a replica; the zero value has none.
type Drivers struct {
	// Calls serve backend servers and operators.
	Calls []Driver
	// Orders is the protocol for orders to engines; nil: the default protocol.
	Orders OrderProtocol
	// Identity is the protocol that asks servers for their incarnation; nil: the default protocol.
	Identity IdentityProtocol
	// Duties is the protocol of the calls to external services; nil: the default protocol.
	Duties DutyProtocol
}

// Port is the interface of this replica for a Driver. Errors are twirp errors: a replica
// that does not lead answers unavailable; see Leader.
type Port struct {
	cluster string
	loop    *loop
	// relay forwards servers' announcements at a replica that does not lead.
	relay *announcementRelay
	// documents is the memory for documents of operators.
	documents *documentMemory
}

// Announce passes on an announcement that a backend server sent itself; see
// control.Announce.
func (p *Port) Announce(ctx context.Context, a *pb.Announcement, sequence uint64) error {
	if leader, self := p.Leader(); !self && leader != "" {
		return p.relay.announce(ctx, leader, a, sequence)
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	_, err := p.loop.postAndWait(ctx, func(id uint64) control.Event {
		return control.Announce{ID: id, Announcement: a, Sequence: sequence}
	})
	return err
}

// Leave reports that one incarnation of a backend server ends; see control.Leave.
func (p *Port) Leave(ctx context.Context, incarnation string) error {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	_, err := p.loop.postAndWait(ctx, func(id uint64) control.Event {
		return control.Leave{ID: id, Incarnation: incarnation}
	})
	return err
}

// AdmitDocument reserves memory for a document of that many bytes until release is called. Errors: the
// document is larger than the machine bears (invalid argument), or others take the memory now (resource
// exhausted).
func (p *Port) AdmitDocument(bytes int) (release func(), err error) {
	return p.documents.reserve(bytes)
}

// DocumentLimit returns the size in bytes of the largest document that AdmitDocument admits.
func (p *Port) DocumentLimit() int { return p.documents.limit }

// ApplyNewest puts a declaration into force unless a newer one is in force.
func (p *Port) ApplyNewest(ctx context.Context, d *pb.Declaration) (*pb.ApplyResponse, error) {
	req := &pb.ApplyRequest{ClusterId: p.cluster, Declaration: proto.CloneOf(d), NewestWins: true}
	return typedAnswer[*pb.ApplyResponse](p.loop.call(ctx, req))
}

// Declaration returns the declaration in force, confirmed by a quorum.
func (p *Port) Declaration(ctx context.Context) (*pb.Declaration, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	resp, err := typedAnswer[*pb.GetDeclarationResponse](
		p.loop.call(ctx, &pb.GetDeclarationRequest{ClusterId: p.cluster}))
	return resp.GetDeclaration(), err
}

// Leader returns the address of the leader that this replica knows, empty if it knows none,
// and whether this replica is the leader.
func (p *Port) Leader() (address string, self bool) {
	g := p.loop.currentGroup()
	return g.leaderAddress, g.isLeader
}

// ReplicaFor returns the address of the replica that should take a server's next
// announcements, and whether it is this one.
func (p *Port) ReplicaFor(server string) (address string, self bool) {
	_, isLeader := p.Leader()
	address = p.relay.replicaFor(server, isLeader)
	return address, address == p.relay.address
}
