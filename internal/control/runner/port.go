package runner

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// callersWait bounds what servers and operators wait for: they ask another replica after a
// second, but for large bodies.
const callersWait = 900 * time.Millisecond

// Driver serves another protocol for backend servers and operators on listeners
// of its own. It only translates: what it takes goes to the Port.
type Driver interface {
	// Serve serves until Shutdown; its error ends the process.
	Serve(port *Port) error
	Shutdown(ctx context.Context) error
}

// Drivers are the other protocols of a replica; the zero value has none.
type Drivers struct {
	// Calls serve backend servers and operators.
	Calls []Driver
	// Orders speaks with engines; nil: the system's own protocol.
	Orders OrderProtocol
	// Duties speaks with those outside whom the deployment reports to; nil: the system's
	// own protocol.
	Duties DutyProtocol
}

// Port is what a Driver may ask of this replica. Errors are twirp errors: a
// replica that does not lead answers unavailable; see Leader.
type Port struct {
	cluster string
	loop    *loop
	// words passes on what servers tell a replica that does not lead.
	words *wordRelay
}

// Announce tells a backend server's own word; see control.Announce.
func (p *Port) Announce(ctx context.Context, a *pb.Announcement, sequence uint64) error {
	if leader, self := p.Leader(); !self && leader != "" {
		return p.words.announce(ctx, leader, a, sequence)
	}
	ctx, cancel := context.WithTimeout(ctx, callersWait)
	defer cancel()
	_, err := p.loop.ask(ctx, func(id uint64) control.Event {
		return control.Announce{ID: id, Announcement: a, Sequence: sequence}
	})
	return err
}

// Leave tells that one life of a backend server ends; see control.Leave.
func (p *Port) Leave(ctx context.Context, incarnation string) error {
	ctx, cancel := context.WithTimeout(ctx, callersWait)
	defer cancel()
	_, err := p.loop.ask(ctx, func(id uint64) control.Event {
		return control.Leave{ID: id, Incarnation: incarnation}
	})
	return err
}

// ApplyNewest puts a declaration in force unless a newer one is.
func (p *Port) ApplyNewest(ctx context.Context, d *pb.Declaration) (*pb.ApplyResponse, error) {
	req := &pb.ApplyRequest{ClusterId: p.cluster, Declaration: proto.CloneOf(d), NewestWins: true}
	return answer[*pb.ApplyResponse](p.loop.call(ctx, req))
}

// Declaration gives the declaration in force, confirmed by a quorum.
func (p *Port) Declaration(ctx context.Context) (*pb.Declaration, error) {
	ctx, cancel := context.WithTimeout(ctx, callersWait)
	defer cancel()
	resp, err := answer[*pb.GetDeclarationResponse](
		p.loop.call(ctx, &pb.GetDeclarationRequest{ClusterId: p.cluster}))
	return resp.GetDeclaration(), err
}

// Leader gives the address of the replica that leads as far as this one knows,
// empty if it knows none, and whether that is this one.
func (p *Port) Leader() (address string, self bool) {
	g := p.loop.view()
	if address = addressOf(g.members, g.leader); address != "" {
		return address, g.leads
	}
	if asked := p.loop.waitsFor.Load(); asked != nil {
		return *asked, false
	}
	return "", false
}

// ReplicaFor gives the address of the replica that is to take a server's next words, and
// whether that is this one.
func (p *Port) ReplicaFor(server string) (address string, self bool) {
	_, leads := p.Leader()
	address = p.words.replicaFor(server, leads)
	return address, address == p.words.address
}
