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

// applyInput is one Apply, or a read of the declaration when digest is empty.
type applyInput struct {
	revision, base uint64
	digest         string
}

// applyOutput is its answer; known is false when none came.
type applyOutput struct {
	known, accepted bool
	// revision and digest are what a read saw.
	revision uint64
	digest   string
}

// accepted is one accepted revision; the model's state is their list, in order.
type accepted struct {
	revision uint64
	digest   string
}

// declarations is the declaration as a revisioned register: an Apply is accepted
// if its base is the revision in force and its own is above, or if the same was
// accepted before; a read sees the last one accepted.
var declarations = porcupine.Model{
	Init:  func() any { return []accepted(nil) },
	Step:  stepDeclarations,
	Equal: func(a, b any) bool { return slices.Equal(a.([]accepted), b.([]accepted)) },
}

func stepDeclarations(state, input, output any) (bool, any) {
	past, in, out := state.([]accepted), input.(applyInput), output.(applyOutput)
	var current accepted
	if len(past) > 0 {
		current = past[len(past)-1]
	}
	if in.digest == "" {
		return !out.known || out.revision == current.revision && out.digest == current.digest, state
	}
	if i := slices.IndexFunc(past, func(a accepted) bool { return a.revision == in.revision }); i >= 0 {
		again := past[i].digest == in.digest
		return !out.known || out.accepted == again, state
	}
	if in.revision <= current.revision || in.base != current.revision {
		return !out.known || !out.accepted, state
	}
	next := append(slices.Clone(past), accepted{in.revision, in.digest})
	return !out.known || out.accepted, next
}

// operator applies and reads declarations as automation does: it reads, writes
// against what it read under a number that others take too, and now and then
// sends an earlier one again.
type operator struct {
	id     int
	client *ctl.Client
	random *rand.Rand
	log    *history
	last   *pb.Declaration
}

func (o *operator) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		current := o.read(ctx)
		if o.last != nil && o.random.IntN(4) == 0 {
			o.apply(ctx, o.last)
			continue
		}
		o.last = o.write(current, n)
		o.apply(ctx, o.last)
	}
}

// write gives a declaration whose content differs by operator and turn.
func (o *operator) write(current uint64, n int) *pb.Declaration {
	d := &declaration.Declaration{
		Revision: current + 1 + uint64(o.random.IntN(2)), Base: current,
		Author: "operator-" + strconv.Itoa(o.id),
		Models: []declaration.Model{{Name: "m", Version: strconv.Itoa(o.id) + "-" + strconv.Itoa(n)}},
	}
	return d.ToProto()
}

func (o *operator) read(ctx context.Context) (revision uint64) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	o.log.do(o.id, applyInput{}, func() (any, bool) {
		d, err := o.client.Declaration(ctx)
		if err != nil {
			return applyOutput{}, false
		}
		revision = d.GetRevision()
		return applyOutput{known: true, revision: d.GetRevision(), digest: d.GetDigest()}, true
	})
	return revision
}

func (o *operator) apply(ctx context.Context, d *pb.Declaration) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	in := applyInput{revision: d.GetRevision(), base: d.GetBase(), digest: d.GetDigest()}
	o.log.do(o.id, in, func() (any, bool) {
		resp, err := o.client.Apply(ctx, d)
		if err != nil {
			return applyOutput{}, false
		}
		return applyOutput{known: true, accepted: resp.GetAccepted()}, true
	})
}
