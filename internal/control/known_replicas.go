package control

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxKnownReplicas bounds the recorded addresses: several times the replicas of the largest group, with
// those that were replaced.
const maxKnownReplicas = 64

// knownReplicas are the addresses of replicas that are or were members of the group or have asked to
// be added, the one that was recorded longest ago first.
//
// Failure: all replicas restart, and those that are not members have forgotten the group, as have
// those that lost their disks. The leader's seeds name none of them, and the seeds of entries name
// nobody else: the group is led, and no entry finds it. So the log says whom a leader has to tell.
type knownReplicas []string

func (k *knownReplicas) apply(update *pb.ReplicasUpdate) {
	for _, address := range update.GetAddresses() {
		if address != "" && !slices.Contains(*k, address) {
			*k = append(*k, address)
		}
	}
	*k = slices.Clone((*k)[max(0, len(*k)-maxKnownReplicas):])
}

// recordReplicas proposes to record the members and the replicas that ask to be added. If more are
// present than are kept, the others are left out: recording them would drop some of the former each time.
func (r *Reducer) recordReplicas() {
	if r.lead.recordingReplicas {
		return
	}
	present := slices.Concat(memberAddresses(r.committed), slices.Sorted(maps.Keys(r.lead.joiners)))
	present = present[:min(len(present), maxKnownReplicas)]
	missing := slices.DeleteFunc(present, func(a string) bool { return slices.Contains(r.state.replicas, a) })
	if len(missing) == 0 {
		return
	}
	lead := r.lead
	lead.recordingReplicas = true
	cmd := &pb.Command{Op: &pb.Command_Replicas{Replicas: &pb.ReplicasUpdate{Addresses: missing}}}
	r.propose(cmd, func(proto.Message, bool) { lead.recordingReplicas = false })
}
