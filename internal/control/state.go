package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// State is the replicated state: the same committed commands produce the same State on
// every replica. Its size is bounded by what is alive and by retention times, never by the
// number of commands.
type State struct {
	index uint64
	// nowMS is the latest now_unix_ms of any command. It never decreases, so that a leader
	// whose wall clock is behind can't bring an expired claim's key back into the window.
	nowMS int64

	declared declarationState
	servers  map[string]*server
	drained  map[string]bool
	entries  map[string]*entry
	orders   map[string]*order
	requests requestLog
	claims   claims
	suspects suspects
	changes  changes
	usage    usageState
	scale    scaleTargets
	departed departed
	replicas knownReplicas
	// roleChanges counts the role orders that were carried out.
	roleChanges uint64
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		declared: newDeclarationState(),
		servers:  make(map[string]*server),
		drained:  make(map[string]bool),
		entries:  make(map[string]*entry),
		orders:   make(map[string]*order),
		requests: newRequestLog(),
		claims:   newClaims(),
		suspects: newSuspects(),
		scale:    make(scaleTargets),
		departed: make(departed),
	}
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Revision returns the declaration revision in force, zero before the first.
func (s *State) Revision() uint64 { return s.declared.proto.GetRevision() }

// ViewVersion returns the log index of the last change of the view.
func (s *State) ViewVersion() uint64 { return s.changes.version }

// Stats holds sizes of the state, for metrics.
type Stats struct {
	Index, Revision, ViewVersion, RoleChanges                         uint64
	Servers, Entries, UnresolvedOrders, Claims, Suspects, AnswerBytes int
}

// Stats returns the sizes of the state.
func (s *State) Stats() Stats {
	f := Stats{
		Index: s.index, Revision: s.Revision(), ViewVersion: s.ViewVersion(), RoleChanges: s.roleChanges,
		Servers: len(s.servers), Entries: len(s.entries), Claims: len(s.claims.byKey),
		Suspects: len(s.suspects.byKey), AnswerBytes: s.claims.answerBytes,
	}
	for _, o := range s.orders {
		if o.unresolved() {
			f.UnresolvedOrders++
		}
	}
	return f
}

// Apply applies one committed log entry and returns the answer for its proposer, nil for
// entries that have none. An entry that can't be unmarshalled changes nothing: every
// replica gets the same bytes and skips the entry in the same way.
func (s *State) Apply(e *pb.LogEntry) proto.Message {
	s.index = e.GetIndex()
	if e.GetKind() != pb.LogEntryKind_LOG_ENTRY_KIND_NORMAL || len(e.GetData()) == 0 {
		return nil
	}
	cmd := &pb.Command{}
	if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
		return nil
	}
	s.nowMS = max(s.nowMS, cmd.GetNowUnixMs())
	return s.apply(e, cmd)
}

func (s *State) apply(e *pb.LogEntry, cmd *pb.Command) proto.Message {
	switch op := cmd.GetOp().(type) {
	case *pb.Command_Apply:
		return s.applyDeclaration(op.Apply.GetDeclaration(), op.Apply.GetNewestWins())
	case *pb.Command_Drain:
		return s.applyDrain(op.Drain)
	case *pb.Command_Register:
		s.applyRegister(op.Register)
	case *pb.Command_Order:
		return s.applyOrder(e.GetTerm(), op.Order.GetOrder())
	case *pb.Command_Claim:
		return s.applyClaims(op.Claim)
	case *pb.Command_Settle:
		s.applySettlements(op.Settle)
		return &pb.SettleResponse{}
	case *pb.Command_Quarantine:
		s.applyQuarantine(op.Quarantine)
	case *pb.Command_Entry:
		s.applyEntries(op.Entry)
	case *pb.Command_Usage:
		s.usage.apply(op.Usage)
	case *pb.Command_Scale:
		s.scale.apply(op.Scale)
	case *pb.Command_Departed:
		s.departed.apply(op.Departed, s.nowMS)
	case *pb.Command_Replicas:
		s.replicas.apply(op.Replicas)
	case *pb.Command_Expire:
		s.applyExpire()
	}
	return nil
}

// applyExpire removes records that are past their retention.
func (s *State) applyExpire() {
	s.expireClaims()
	s.expireSuspects()
	s.expireServers()
	s.departed.expire(s.nowMS)
}

// limits returns the declared limits, with defaults for those that are not declared.
// goldcrestctl fills in the defaults; a declaration from another source must not make every
// key expire at once.
func (s *State) limits() declaration.Limits {
	var l declaration.Limits
	if s.declared.parsed != nil {
		l = s.declared.parsed.Limits
	}
	l.IdempotencyWindow = orDefault(l.IdempotencyWindow, declaration.DefaultIdempotencyWindow)
	l.MaxIdempotentAnswerBytes = orDefault(l.MaxIdempotentAnswerBytes, declaration.DefaultMaxIdempotentAnswerBytes)
	l.QuarantineTime = orDefault(l.QuarantineTime, declaration.DefaultQuarantineTime)
	l.QuarantineCrashes = orDefault(l.QuarantineCrashes, declaration.DefaultQuarantineCrashes)
	return l
}

func orDefault[T time.Duration | int](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
