package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxFutureKey is how far ahead of the leader's clock a key's time may lie:
	// callers' clocks differ by seconds, not minutes. A key from further ahead
	// would be remembered for longer than the window.
	maxFutureKey = time.Minute
	// claimBucket is the grain in which claims are forgotten.
	claimBucket = time.Minute
	// maxAnswerTotal bounds the stored answers of all claims together, so that
	// a replica stays within 64 MB; the oldest answers are dropped first and
	// then read as truncated.
	maxAnswerTotal = 16 << 20
	// MaxClaimBatch bounds the claims or settlements of one call.
	MaxClaimBatch = 1024
	// maxClaims bounds how many claims are remembered at once, at about 250
	// bytes each. When it is reached, new keys are refused as not run.
	maxClaims = 100_000
)

// claimKey names a once-only call. The member is part of it: one member's key
// never meets another's.
type claimKey struct{ member, service, key string }

// owner is one life of one entry.
type owner struct{ name, incarnation string }

// claim is what is known of one once-only call.
type claim struct {
	requestID   string
	owner       owner
	fingerprint uint64
	status      pb.ClaimStatus
	answer      *pb.StoredAnswer
	// answered orders the stored answers: log index, then place in the command.
	answered uint64
}

// claims holds the once-only claims of the window.
type claims struct {
	byKey map[claimKey]*claim
	// buckets holds the keys by their own time, in steps of claimBucket.
	buckets map[int64][]claimKey
	// running holds the RUNNING claims of each owner.
	running map[owner]map[claimKey]struct{}
	// forgottenMS: keys of an earlier time are refused for good.
	//
	// Failure: the window is made longer by a declaration, and a key that was
	// forgotten under the shorter one is inside of it again; its call would run
	// a second time. What was forgotten once stays refused.
	forgottenMS int64
	// answers lists the claims with a stored answer, the oldest first.
	answers     []claimKey
	answerBytes int
}

func newClaims() claims {
	return claims{
		byKey:   make(map[claimKey]*claim),
		buckets: make(map[int64][]claimKey),
		running: make(map[owner]map[claimKey]struct{}),
	}
}

func keyOf(c *pb.Claim) claimKey {
	return claimKey{member: c.GetMember(), service: c.GetService(), key: c.GetKey()}
}

func ownerOf(id *pb.EntryIdentity) owner {
	return owner{name: id.GetName(), incarnation: id.GetIncarnation()}
}

// keyTime gives the Unix milliseconds in a UUIDv7 in its canonical form. Other
// spellings of the same UUID are refused, since they would be other keys.
func keyTime(key string) (int64, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.String() != key {
		return 0, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

func (s *State) applyClaims(r *pb.ClaimRequest) *pb.ClaimResponse {
	resp := &pb.ClaimResponse{Results: make([]*pb.ClaimResult, 0, len(r.GetClaims()))}
	for _, c := range r.GetClaims() {
		resp.Results = append(resp.Results, s.applyClaim(c))
	}
	return resp
}

// applyClaim grants a call to one entry or tells what became of it.
//
// Failure: two entries get the same once-only call, from a caller that sent it
// again. The claim is committed before a byte is sent, and one of two claims
// comes first in the log: the other one is told RUNNING.
func (s *State) applyClaim(c *pb.Claim) *pb.ClaimResult {
	keyMS, ok := keyTime(c.GetKey())
	if !ok || !s.inWindow(keyMS) {
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_EXPIRED}
	}
	key := keyOf(c)
	known := s.claims.byKey[key]
	switch {
	case known == nil:
		return s.grant(key, c, keyMS)
	case known.fingerprint != c.GetFingerprint():
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_MISMATCH}
	case known.status == pb.ClaimStatus_CLAIM_STATUS_NOT_RUN && known.ownedBy(c):
		// A copy of the Claim that came late: its request was settled and nobody
		// waits for it, so a grant would keep the key taken for nothing.
		return &pb.ClaimResult{Status: known.status}
	case known.status == pb.ClaimStatus_CLAIM_STATUS_NOT_RUN:
		return s.grant(key, c, keyMS)
	case known.grantedTo(c):
		// The answer to the first Claim was lost. The owner sends once per
		// request id, so telling the same life of the same entry again is safe.
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}
	}
	return &pb.ClaimResult{Status: known.status, Answer: known.answer}
}

func (c *claim) grantedTo(again *pb.Claim) bool {
	return c.status == pb.ClaimStatus_CLAIM_STATUS_RUNNING &&
		c.requestID == again.GetRequestId() && c.owner == ownerOf(again.GetOwner())
}

// inWindow tells whether a key of that time may run. The upper bound keeps a
// key from being remembered for longer than the window.
func (s *State) inWindow(keyMS int64) bool {
	oldest := max(s.nowMS-s.limits().OnceWindow.Milliseconds(), s.claims.forgottenMS)
	return keyMS >= oldest && keyMS <= s.nowMS+maxFutureKey.Milliseconds()
}

func (s *State) grant(key claimKey, c *pb.Claim, keyMS int64) *pb.ClaimResult {
	if s.claims.byKey[key] == nil {
		if len(s.claims.byKey) >= maxClaims {
			return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_NOT_RUN}
		}
		bucket := keyMS / claimBucket.Milliseconds()
		s.claims.buckets[bucket] = append(s.claims.buckets[bucket], key)
	}
	granted := &claim{
		requestID: c.GetRequestId(), owner: ownerOf(c.GetOwner()), fingerprint: c.GetFingerprint(),
		status: pb.ClaimStatus_CLAIM_STATUS_RUNNING,
	}
	s.claims.byKey[key] = granted
	s.claims.addRunning(granted.owner, key)
	return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}
}

// applySettlements records how calls ended. Only the owner that was granted the
// call may settle it; RUNNING and UNKNOWN (its entry was thought dead) may
// change, a known end never does.
func (s *State) applySettlements(r *pb.SettleRequest) {
	list := r.GetSettlements()
	for i, st := range list[:min(len(list), MaxClaimBatch)] {
		key := keyOf(st.GetClaim())
		known := s.claims.byKey[key]
		if known == nil || !known.open() || !known.ownedBy(st.GetClaim()) {
			continue
		}
		s.settle(key, known, st, s.index*MaxClaimBatch+uint64(i))
	}
}

func (c *claim) open() bool {
	return c.status == pb.ClaimStatus_CLAIM_STATUS_RUNNING || c.status == pb.ClaimStatus_CLAIM_STATUS_UNKNOWN
}

func (c *claim) ownedBy(p *pb.Claim) bool {
	return c.requestID == p.GetRequestId() && c.owner == ownerOf(p.GetOwner())
}

func (s *State) settle(key claimKey, known *claim, st *pb.Settlement, sequence uint64) {
	switch st.GetStatus() {
	case pb.ClaimStatus_CLAIM_STATUS_DONE:
		s.claims.store(key, known, st.GetAnswer(), s.limits().OnceAnswerBytes)
		known.answered = sequence
	case pb.ClaimStatus_CLAIM_STATUS_UNKNOWN, pb.ClaimStatus_CLAIM_STATUS_NOT_RUN:
	default:
		return
	}
	known.status = st.GetStatus()
	s.claims.dropRunning(known.owner, key)
}

// store keeps an answer within its bounds; what is too large is kept without
// its body.
func (c *claims) store(key claimKey, known *claim, a *pb.StoredAnswer, limit int) {
	if a == nil {
		a = &pb.StoredAnswer{Truncated: true}
	}
	kept := &pb.StoredAnswer{
		Status: a.GetStatus(), ContentType: a.GetContentType(),
		Body: a.GetBody(), Truncated: a.GetTruncated(),
	}
	if len(kept.Body) > limit {
		kept.Body, kept.Truncated = nil, true
	}
	known.answer = kept
	if len(kept.Body) == 0 {
		return
	}
	c.answers = append(c.answers, key)
	c.answerBytes += len(kept.Body)
	c.boundAnswers()
}

func (c *claims) boundAnswers() {
	drop := 0
	for c.answerBytes > maxAnswerTotal && drop < len(c.answers) {
		c.dropAnswer(c.answers[drop])
		drop++
	}
	c.answers = slices.Delete(c.answers, 0, drop)
}

func (c *claims) dropAnswer(key claimKey) {
	known := c.byKey[key]
	if known == nil || known.answer == nil {
		return
	}
	c.answerBytes -= len(known.answer.GetBody())
	known.answer = &pb.StoredAnswer{
		Status: known.answer.GetStatus(), ContentType: known.answer.GetContentType(), Truncated: true,
	}
}

// loseOwner makes the running claims of a dead entry UNKNOWN: its calls may or
// may not have been sent, so they never run again.
func (s *State) loseOwner(id *pb.EntryIdentity) {
	o := ownerOf(id)
	for key := range s.claims.running[o] {
		s.claims.byKey[key].status = pb.ClaimStatus_CLAIM_STATUS_UNKNOWN
	}
	delete(s.claims.running, o)
}

func (c *claims) addRunning(o owner, key claimKey) {
	if c.running[o] == nil {
		c.running[o] = make(map[claimKey]struct{})
	}
	c.running[o][key] = struct{}{}
}

func (c *claims) dropRunning(o owner, key claimKey) {
	delete(c.running[o], key)
	if len(c.running[o]) == 0 {
		delete(c.running, o)
	}
}

// open counts the claims that run.
func (c *claims) open() uint64 {
	var n uint64
	for _, keys := range c.running {
		n += uint64(len(keys))
	}
	return n
}

// expireClaims forgets whole buckets that have left the window. inWindow
// refuses their keys from then on.
func (s *State) expireClaims() {
	cut := s.nowMS - s.limits().OnceWindow.Milliseconds()
	last := cut / claimBucket.Milliseconds()
	dropped := false
	for bucket, keys := range s.claims.buckets {
		if bucket >= last {
			continue
		}
		dropped = true
		delete(s.claims.buckets, bucket)
		for _, key := range keys {
			s.claims.forget(key)
		}
	}
	if cut > s.claims.forgottenMS {
		s.claims.forgottenMS = cut
	}
	if dropped {
		s.claims.answers = slices.DeleteFunc(s.claims.answers, func(key claimKey) bool {
			return s.claims.byKey[key] == nil
		})
	}
}

func (c *claims) forget(key claimKey) {
	known := c.byKey[key]
	c.dropRunning(known.owner, key)
	c.answerBytes -= len(known.answer.GetBody())
	delete(c.byKey, key)
}

// sortAnswers puts the stored answers into the order in which they are dropped:
// that in which they were stored, the same before and after a snapshot.
func (c *claims) sortAnswers() {
	slices.SortFunc(c.answers, func(a, b claimKey) int {
		return cmp.Compare(c.byKey[a].answered, c.byKey[b].answered)
	})
}
