package traffic

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// finishedRetention is how long the record of a finished stream is kept. It
	// lets a caller resume whose connection broke just before the end.
	finishedRetention = 30 * time.Second
	// recordRetention is how long a replica is kept without renewal.
	recordRetention = 2 * time.Minute
	// maxRecords and maxRecordBytes bound the stored records of streams.
	// maxRecordBytes counts replicas only.
	maxRecords     = 20000
	maxRecordBytes = 256 << 20
	// A replica is renewed after renewAfterTokens new tokens, or after
	// renewAfter if there are any new tokens.
	renewAfterTokens = 64
	renewAfter       = 500 * time.Millisecond
)

// streamRecord is the state of a stream of this entry that another entry needs
// to resume it.
type streamRecord struct {
	mu sync.Mutex
	pb *pb.StreamRecord
	// text is stored outside pb, so that adding a chunk does not copy all
	// earlier text.
	text []byte
	// replicaAddress is the peer that holds a replica; empty until one has
	// acknowledged the record.
	replicaAddress string
	// replicationStarted is set, and replicated is closed, when the first
	// replication starts and ends.
	replicationStarted bool
	replicated         chan struct{}
	// renewedAt and renewedTokens are the time and the token count of the
	// latest renewal. renewNow requests a renewal at the next check.
	renewedAt     time.Time
	renewedTokens uint64
	renewNow      bool
	// replicaTextBytes is the length of the text that the replica has.
	replicaTextBytes int
}

func newStreamRecord(p *pb.StreamRecord) *streamRecord {
	return &streamRecord{pb: p, replicated: make(chan struct{})}
}

func (r *streamRecord) setDispatched(dispatch entry.Dispatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pb.Server, r.pb.Incarnation, r.pb.Address = dispatch.Server, dispatch.Incarnation, dispatch.Address
	r.pb.Attempt = dispatch.EngineAttempt
	r.renewNow = true
}

func (r *streamRecord) setProgress(text []byte, offset int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text, r.pb.Tokens = text, uint64(offset)
}

func (r *streamRecord) setFinished(text []byte, offset int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text, r.pb.Tokens = text, uint64(offset)
	r.pb.Finished, r.renewNow = true, true
}

// continueFrom takes over the creation time and attempt number from the record
// of an earlier entry.
func (r *streamRecord) continueFrom(earlier *pb.StreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pb.CreatedUnixMs, r.pb.Attempt = earlier.CreatedUnixMs, earlier.Attempt
}

// neverSent reports whether no attempt of the request was sent to a server, by
// this or another entry.
func (r *streamRecord) neverSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pb.Attempt == 0
}

func (r *streamRecord) replicaHolder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicaAddress
}

// snapshot returns a copy of the full record.
func (r *streamRecord) snapshot() *pb.StreamRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.cloneWithoutBody()
	p.Body, p.Text = r.pb.Body, string(r.text)
	return p
}

// delta returns a copy of the record with only what the replica lacks: no body,
// and only the new text. Renewals with the full text would send the start of a
// long answer about a hundred times.
func (r *streamRecord) delta() *pb.StreamRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.cloneWithoutBody()
	start := min(r.replicaTextBytes, len(r.text))
	p.TextStart, p.Text = uint32(start), string(r.text[start:])
	return p
}

// cloneWithoutBody copies the record's fields other than the body. The caller
// must hold mu.
func (r *streamRecord) cloneWithoutBody() *pb.StreamRecord {
	body := r.pb.Body
	r.pb.Body = nil
	p := proto.Clone(r.pb).(*pb.StreamRecord)
	r.pb.Body = body
	return p
}

// acknowledged records that a peer has stored p.
func (r *streamRecord) acknowledged(replicaAddress string, p *pb.StreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if replicaAddress != r.replicaAddress {
		r.replicaAddress, r.renewNow, r.replicaTextBytes = replicaAddress, true, 0
	}
	r.renewedAt = time.Now()
	r.replicaTextBytes = max(r.replicaTextBytes, int(p.TextStart)+len(p.Text))
}

// beginRenewalIfDue reports whether the replica is due for renewal. If so, it
// marks the renewal as done.
func (r *streamRecord) beginRenewalIfDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hasNewText := r.pb.Tokens >= r.renewedTokens+renewAfterTokens ||
		(r.pb.Tokens > r.renewedTokens && now.Sub(r.renewedAt) >= renewAfter)
	keepAliveDue := now.Sub(r.renewedAt) >= recordRetention/4 && !r.pb.Finished
	if r.replicaAddress == "" || !(r.renewNow || hasNewText || keepAliveDue) {
		return false
	}
	r.renewNow, r.renewedAt, r.renewedTokens = false, now, r.pb.Tokens
	return true
}

type recordKey struct{ member, requestID string }

// storedRecord is either the record of a stream of this entry (own) or the
// replica of another entry's record.
type storedRecord struct {
	own     *streamRecord
	replica *pb.StreamRecord
	// expiresAt is when the record is dropped; zero while a stream of this
	// entry runs.
	expiresAt time.Time
}

// recordStore holds the records of this entry's streams and the replicas of
// other entries' records. Records are keyed by member and request id, so a
// member cannot find the record of another.
type recordStore struct {
	mu           sync.Mutex
	byKey        map[recordKey]*storedRecord
	replicaBytes int
}

func newRecordStore() *recordStore {
	return &recordStore{byKey: make(map[recordKey]*storedRecord)}
}

// addOwn adds the record of a stream that runs at this entry.
func (s *recordStore) addOwn(r *streamRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := recordKey{r.pb.Member, r.pb.RequestId}
	s.drop(key)
	s.byKey[key] = &storedRecord{own: r}
}

// storeReplica stores or renews another entry's record. It returns false if
// there is no room or if a delta does not follow what is stored. An update
// older than the stored replica is ignored, since renewals may arrive out of
// order.
func (s *recordStore) storeReplica(p *pb.StreamRecord, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := recordKey{p.Member, p.RequestId}
	stored := s.byKey[key]
	if stored != nil && stored.own != nil && stored.expiresAt.IsZero() {
		return true
	}
	if stored != nil && stored.replica != nil && stored.replica.WireId == p.WireId {
		if p.Attempt < stored.replica.Attempt || p.Tokens < stored.replica.Tokens {
			return true
		}
		if !applyDelta(p, stored.replica) {
			return false
		}
	}
	if len(p.Body) == 0 || len(s.byKey) >= maxRecords || s.replicaBytes+recordBytes(p) > maxRecordBytes {
		return false
	}
	s.drop(key)
	retention := recordRetention
	if p.Finished {
		retention = finishedRetention
	}
	s.byKey[key] = &storedRecord{replica: p, expiresAt: now.Add(retention)}
	s.replicaBytes += recordBytes(p)
	return true
}

// applyDelta completes a delta with the stored replica's body and text; a full
// record stays as it is. It returns false if text between the two is missing.
func applyDelta(p, stored *pb.StreamRecord) bool {
	if len(p.Body) > 0 {
		return true
	}
	start := int(p.TextStart)
	if start > len(stored.Text) {
		return false
	}
	p.Body, p.Text, p.TextStart = stored.Body, stored.Text[:start]+p.Text, 0
	return true
}

func recordBytes(p *pb.StreamRecord) int { return len(p.Body) + len(p.Text) }

// drop removes a record. The caller must hold mu.
func (s *recordStore) drop(key recordKey) {
	if stored := s.byKey[key]; stored != nil {
		if stored.replica != nil {
			s.replicaBytes -= recordBytes(stored.replica)
		}
		delete(s.byKey, key)
	}
}

// lookup returns a copy of the member's record, or nil.
func (s *recordStore) lookup(member, requestID string) *pb.StreamRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.byKey[recordKey{member, requestID}]
	if stored == nil {
		return nil
	}
	if stored.own != nil {
		return stored.own.snapshot()
	}
	return proto.Clone(stored.replica).(*pb.StreamRecord)
}

// expireOwn lets the record of an ended stream expire after finishedRetention.
func (s *recordStore) expireOwn(r *streamRecord, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored := s.byKey[recordKey{r.pb.Member, r.pb.RequestId}]; stored != nil && stored.own == r {
		stored.expiresAt = now.Add(finishedRetention)
	}
}

// sweep drops expired records and returns the records of this entry's streams
// whose replicas are due for renewal.
func (s *recordStore) sweep(now time.Time) []*streamRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*streamRecord
	for key, stored := range s.byKey {
		if !stored.expiresAt.IsZero() && now.After(stored.expiresAt) {
			s.drop(key)
			continue
		}
		if stored.own != nil && stored.own.beginRenewalIfDue(now) {
			due = append(due, stored.own)
		}
	}
	return due
}
