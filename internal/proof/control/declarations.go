package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/anishathalye/porcupine"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// applyInput is the input of an Apply, or of a read of the declaration when digest
// is empty.
type applyInput struct {
	revision, base uint64
	digest         string
}

// applyOutput is the answer; answered is false when none came.
type applyOutput struct {
	answered, accepted bool
	// revision and digest are those that a read returned.
	revision uint64
	digest   string
}

// acceptedRevision is one accepted revision. The model's state is the list of them,
// in order of acceptance.
type acceptedRevision struct {
	revision uint64
	digest   string
}

// declarationModel models the declaration as a register with revisions. An Apply is
// accepted if its base is the current revision and its own revision is higher, or if
// the same declaration was accepted before. A read returns the last one accepted.
var declarationModel = porcupine.Model{
	Init:  func() any { return []acceptedRevision(nil) },
	Step:  stepDeclarations,
	Equal: func(a, b any) bool { return slices.Equal(a.([]acceptedRevision), b.([]acceptedRevision)) },
}

func stepDeclarations(state, input, output any) (bool, any) {
	revisions, in, out := state.([]acceptedRevision), input.(applyInput), output.(applyOutput)
	var current acceptedRevision
	if len(revisions) > 0 {
		current = revisions[len(revisions)-1]
	}
	if in.digest == "" {
		return !out.answered || out.revision == current.revision && out.digest == current.digest, state
	}
	if i := slices.IndexFunc(revisions, func(a acceptedRevision) bool { return a.revision == in.revision }); i >= 0 {
		same := revisions[i].digest == in.digest
		return !out.answered || out.accepted == same, state
	}
	if in.revision <= current.revision || in.base != current.revision {
		return !out.answered || !out.accepted, state
	}
	next := append(slices.Clone(revisions), acceptedRevision{in.revision, in.digest})
	return !out.answered || out.accepted, next
}

// operator applies and reads declarations as automation does. It reads the current
// one and applies a change based on it, under a revision that others use too.
// Sometimes it resends its last one.
type operator struct {
	id       int
	client   *ctl.Client
	rng      *rand.Rand
	history  *history
	lastSent *pb.Declaration
}

func (o *operator) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		current := o.read(ctx)
		if o.lastSent != nil && o.rng.IntN(4) == 0 {
			o.apply(ctx, o.lastSent)
			continue
		}
		o.lastSent = o.newDeclaration(current, n)
		o.apply(ctx, o.lastSent)
	}
}

// newDeclaration returns a declaration whose content is different for each operator
// and n.
func (o *operator) newDeclaration(current uint64, n int) *pb.Declaration {
	d := &declaration.Declaration{
		Revision: current + 1 + uint64(o.rng.IntN(2)), Base: current,
		Author: "operator-" + strconv.Itoa(o.id),
		Models: []declaration.Model{{Name: "m", Version: strconv.Itoa(o.id) + "-" + strconv.Itoa(n)}},
	}
	return d.ToProto()
}

func (o *operator) read(ctx context.Context) (revision uint64) {
	ctx, cancel := withOpTimeout(ctx)
	defer cancel()
	o.history.record(o.id, applyInput{}, func() (any, bool) {
		d, err := o.client.Declaration(ctx)
		if err != nil {
			return applyOutput{}, false
		}
		revision = d.GetRevision()
		return applyOutput{answered: true, revision: d.GetRevision(), digest: d.GetDigest()}, true
	})
	return revision
}

func (o *operator) apply(ctx context.Context, d *pb.Declaration) {
	ctx, cancel := withOpTimeout(ctx)
	defer cancel()
	in := applyInput{revision: d.GetRevision(), base: d.GetBase(), digest: d.GetDigest()}
	o.history.record(o.id, in, func() (any, bool) {
		resp, err := o.client.Apply(ctx, d)
		if err != nil {
			return applyOutput{}, false
		}
		return applyOutput{answered: true, accepted: resp.GetAccepted()}, true
	})
}
