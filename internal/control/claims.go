package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxKeyClockSkew is how far the time in a key may be ahead of the leader's clock:
	// callers' clocks differ by seconds, not minutes. A key with a later time would be
	// remembered for longer than the window.
	maxKeyClockSkew = time.Minute
	// claimBucketWidth is the granularity in which claims expire.
	claimBucketWidth = time.Minute
	// maxAnswerBytes bounds the stored answers of all claims together, so that a replica
	// stays within 64 MB. The oldest answers are dropped first and are marked as truncated.
	maxAnswerBytes = 16 << 20
	// MaxClaimBatch is the maximum number of claims or settlements in one call.
	MaxClaimBatch = 1024
	// maxEndedRequests bounds the request ids that are kept for each key. The oldest is dropped
	// first: a copy of its Claim would have to be delayed for as many calls under the key.
	maxEndedRequests = 64
	// maxClaims bounds the number of claims, at about 250 bytes each. At the limit, new
	// keys get NOT_RUN.
	maxClaims = 100_000
)

// claimKey identifies a call that must run at most once. It includes the member, so that
// equal keys of two members don't collide.
type claimKey struct{ member, service, key string }

// owner is one incarnation of an entry.
type owner struct{ name, incarnation string }

// claim is the record of one call that must run at most once.
type claim struct {
	requestID   string
	owner       owner
	fingerprint uint64
	status      pb.ClaimStatus
	answer      *pb.StoredAnswer
	// answerSequence orders the stored answers: by log index, then by position in the
	// command.
	answerSequence uint64
	// ended holds the ids of requests that were settled as not run, oldest first.
	//
	// Failure: a Claim got no answer in time and was sent again, its request was refused, and
	// another request under the key was refused, too. A delayed copy of the first Claim is then
	// granted, although nobody waits for it: the key stays RUNNING for the whole window, and its
	// caller never gets an answer.
	ended []string
}

// claims holds the claims whose keys are within the window.
type claims struct {
	byKey map[claimKey]*claim
	// buckets holds the keys by the time in the key, in steps of claimBucketWidth.
	buckets map[int64][]claimKey
	// running holds the RUNNING claims of each owner.
	running map[owner]map[claimKey]struct{}
	// expiredBeforeMS is the cutoff: keys with an earlier time are refused permanently.
	//
	// Failure: a declaration extends the window, and a key that had expired under the
	// shorter window is inside it again; its call would run a second time.
	expiredBeforeMS int64
	// answers lists the claims with a stored answer, oldest first.
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

// keyTime returns the Unix milliseconds of a UUIDv7 in canonical form. Other spellings of
// the same UUID are rejected, since they would count as different keys.
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

// applyClaim grants a call to one entry, or returns the status of the existing claim.
//
// Failure: a caller repeats a call that must run at most once, and two entries receive it.
// The claim is committed before any byte is sent, and the log orders the two claims: the
// second one gets RUNNING.
func (s *State) applyClaim(c *pb.Claim) *pb.ClaimResult {
	keyMS, ok := keyTime(c.GetKey())
	if !ok || !s.inWindow(keyMS) {
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_EXPIRED}
	}
	key := keyOf(c)
	known := s.claims.byKey[key]
	switch {
	case !s.isListed(ownerOf(c.GetOwner())) && (known == nil || known.status == pb.ClaimStatus_CLAIM_STATUS_NOT_RUN):
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_NOT_RUN}
	case known == nil:
		return s.grant(key, c, keyMS)
	case known.fingerprint != c.GetFingerprint():
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_MISMATCH}
	case known.status == pb.ClaimStatus_CLAIM_STATUS_NOT_RUN && known.hasEnded(c.GetRequestId()):
		// This is a delayed copy of the Claim. Its request was settled and no caller waits
		// for it, so a grant would block the key for nothing.
		return &pb.ClaimResult{Status: known.status}
	case known.status == pb.ClaimStatus_CLAIM_STATUS_NOT_RUN:
		return s.grant(key, c, keyMS)
	case known.grantedTo(c):
		// The answer to the first Claim was lost. The owner sends only once per request id,
		// so granting the same incarnation of the same entry again is safe.
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}
	}
	return &pb.ClaimResult{Status: known.status, Answer: known.answer}
}

// isListed reports whether that incarnation of the entry is in force.
//
// Failure: a Claim arrives after its entry was removed as dead, whose running claims ended then. It
// is granted, nobody ends it, and the key stays RUNNING for the whole window.
func (s *State) isListed(o owner) bool {
	e := s.entries[o.name]
	return e != nil && incarnationOf(e.info) == o.incarnation
}

func (c *claim) grantedTo(retry *pb.Claim) bool {
	return c.status == pb.ClaimStatus_CLAIM_STATUS_RUNNING &&
		c.requestID == retry.GetRequestId() && c.owner == ownerOf(retry.GetOwner())
}

// inWindow reports whether a key with that time may run. The upper bound keeps a key from
// being remembered for longer than the window.
func (s *State) inWindow(keyMS int64) bool {
	oldest := max(s.nowMS-s.limits().IdempotencyWindow.Milliseconds(), s.claims.expiredBeforeMS)
	return keyMS >= oldest && keyMS <= s.nowMS+maxKeyClockSkew.Milliseconds()
}

func (s *State) grant(key claimKey, c *pb.Claim, keyMS int64) *pb.ClaimResult {
	if s.claims.byKey[key] == nil {
		if len(s.claims.byKey) >= maxClaims {
			return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_NOT_RUN}
		}
		bucket := keyMS / claimBucketWidth.Milliseconds()
		s.claims.buckets[bucket] = append(s.claims.buckets[bucket], key)
	}
	granted := &claim{
		requestID: c.GetRequestId(), owner: ownerOf(c.GetOwner()), fingerprint: c.GetFingerprint(),
		status: pb.ClaimStatus_CLAIM_STATUS_RUNNING,
	}
	if known := s.claims.byKey[key]; known != nil {
		granted.ended = known.ended
	}
	s.claims.byKey[key] = granted
	s.claims.addRunning(granted.owner, key)
	return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}
}

// applySettlements records the outcomes of calls. Only the owner that was granted the call
// may settle it; a request that was not granted can only be ended, as not run. RUNNING may
// change; UNKNOWN (the entry was presumed dead) may become DONE; a final status never changes.
func (s *State) applySettlements(r *pb.SettleRequest) {
	list := r.GetSettlements()
	for i, st := range list[:min(len(list), MaxClaimBatch)] {
		key := keyOf(st.GetClaim())
		known := s.claims.byKey[key]
		if known == nil {
			continue
		}
		if st.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_NOT_RUN {
			known.end(st.GetClaim().GetRequestId())
		}
		if !known.maySettleAs(st.GetStatus()) || !known.ownedBy(st.GetClaim()) {
			continue
		}
		s.settle(key, known, st, s.index*MaxClaimBatch+uint64(i))
	}
}

// maySettleAs reports whether a settlement may replace the claim's status.
//
// Failure: an entry freezes, callers are told that the call may have run and is not sent
// again, and have it done in another way. The entry wakes and settles the call as not run: a
// late copy of the call would be granted and run.
func (c *claim) maySettleAs(status pb.ClaimStatus) bool {
	switch c.status {
	case pb.ClaimStatus_CLAIM_STATUS_RUNNING:
		return true
	case pb.ClaimStatus_CLAIM_STATUS_UNKNOWN:
		return status == pb.ClaimStatus_CLAIM_STATUS_DONE
	default:
		return false
	}
}

func (c *claim) hasEnded(requestID string) bool { return slices.Contains(c.ended, requestID) }

func (c *claim) end(requestID string) {
	if c.hasEnded(requestID) {
		return
	}
	if len(c.ended) == maxEndedRequests {
		c.ended = c.ended[1:]
	}
	c.ended = append(slices.Clip(c.ended), requestID)
}

func (c *claim) ownedBy(p *pb.Claim) bool {
	return c.requestID == p.GetRequestId() && c.owner == ownerOf(p.GetOwner())
}

func (s *State) settle(key claimKey, known *claim, st *pb.Settlement, sequence uint64) {
	switch st.GetStatus() {
	case pb.ClaimStatus_CLAIM_STATUS_DONE:
		s.claims.storeAnswer(key, known, st.GetAnswer(), s.limits().MaxIdempotentAnswerBytes)
		known.answerSequence = sequence
	case pb.ClaimStatus_CLAIM_STATUS_UNKNOWN, pb.ClaimStatus_CLAIM_STATUS_NOT_RUN:
	default:
		return
	}
	known.status = st.GetStatus()
	s.claims.removeRunning(known.owner, key)
}

// storeAnswer stores an answer within the size limits. An answer that is too large is
// stored without its body.
func (c *claims) storeAnswer(key claimKey, known *claim, a *pb.StoredAnswer, limit int) {
	if a == nil {
		a = &pb.StoredAnswer{Truncated: true}
	}
	stored := &pb.StoredAnswer{
		Status: a.GetStatus(), ContentType: a.GetContentType(),
		Body: a.GetBody(), Truncated: a.GetTruncated(),
	}
	if len(stored.Body) > limit {
		stored.Body, stored.Truncated = nil, true
	}
	known.answer = stored
	if len(stored.Body) == 0 {
		return
	}
	c.answers = append(c.answers, key)
	c.answerBytes += len(stored.Body)
	c.evictAnswers()
}

func (c *claims) evictAnswers() {
	drop := 0
	for c.answerBytes > maxAnswerBytes && drop < len(c.answers) {
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

// markOwnerLost sets the running claims of a dead entry to UNKNOWN: its calls may or may
// not have been sent, so they never run again.
func (s *State) markOwnerLost(id *pb.EntryIdentity) {
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

func (c *claims) removeRunning(o owner, key claimKey) {
	delete(c.running[o], key)
	if len(c.running[o]) == 0 {
		delete(c.running, o)
	}
}

// countRunning returns the number of running claims.
func (c *claims) countRunning() uint64 {
	var n uint64
	for _, keys := range c.running {
		n += uint64(len(keys))
	}
	return n
}

// expireClaims removes whole buckets that are older than the window. From then on inWindow
// refuses their keys.
func (s *State) expireClaims() {
	cutoffMS := s.nowMS - s.limits().IdempotencyWindow.Milliseconds()
	last := cutoffMS / claimBucketWidth.Milliseconds()
	dropped := false
	for bucket, keys := range s.claims.buckets {
		if bucket >= last {
			continue
		}
		dropped = true
		delete(s.claims.buckets, bucket)
		for _, key := range keys {
			s.claims.remove(key)
		}
	}
	if cutoffMS > s.claims.expiredBeforeMS {
		s.claims.expiredBeforeMS = cutoffMS
	}
	if dropped {
		s.claims.answers = slices.DeleteFunc(s.claims.answers, func(key claimKey) bool {
			return s.claims.byKey[key] == nil
		})
	}
}

func (c *claims) remove(key claimKey) {
	known := c.byKey[key]
	c.removeRunning(known.owner, key)
	c.answerBytes -= len(known.answer.GetBody())
	delete(c.byKey, key)
}

// sortAnswers sorts the stored answers into the order of eviction, oldest first. The order
// is the same before and after a snapshot.
func (c *claims) sortAnswers() {
	slices.SortFunc(c.answers, func(a, b claimKey) int {
		return cmp.Compare(c.byKey[a].answerSequence, c.byKey[b].answerSequence)
	})
}
