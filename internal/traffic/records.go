package traffic

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// finishedKeep is how long a finished stream's record is kept: a caller
	// whose connection broke at the very end comes back within it.
	finishedKeep = 30 * time.Second
	// recordKeep bounds how long a record lives without renewal.
	recordKeep = 2 * time.Minute
	// maxRecords and maxRecordBytes bound what this entry keeps of streams.
	maxRecords     = 20000
	maxRecordBytes = 256 << 20
	// renewTokens and renewEvery pace renewals with text.
	renewTokens = 64
	renewEvery  = 500 * time.Millisecond
)

// streamRecord is one stream that this entry runs, as another would need it.
type streamRecord struct {
	mu sync.Mutex
	pb *pb.StreamRecord
	// text is kept apart, so that a chunk costs no copy of all text before it.
	text []byte
	// holder is the peer that has it; empty until one answered.
	holder string
	// begun and replicated bracket the first hand-over.
	begun      bool
	replicated chan struct{}
	// renewed is when and at how many tokens the holder got it last; urgent
	// asks for a renewal at once.
	renewed       time.Time
	renewedTokens uint64
	urgent        bool
	// heldText is how many bytes of the text the holder has.
	heldText int
}

func newStreamRecord(p *pb.StreamRecord) *streamRecord {
	return &streamRecord{pb: p, replicated: make(chan struct{})}
}

func (r *streamRecord) dispatched(d entry.Dispatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pb.Server, r.pb.Incarnation, r.pb.Address = d.Server, d.Incarnation, d.Address
	r.pb.Attempt = d.EngineAttempt
	r.urgent = true
}

func (r *streamRecord) progress(text []byte, offset int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text, r.pb.Tokens = text, uint64(offset)
}

func (r *streamRecord) finish(text []byte, offset int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text, r.pb.Tokens = text, uint64(offset)
	r.pb.Finished, r.urgent = true, true
}

// follows takes over what an earlier entry's record tells of its attempts.
func (r *streamRecord) follows(earlier *pb.StreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pb.CreatedUnixMs, r.pb.Attempt = earlier.CreatedUnixMs, earlier.Attempt
}

// neverSent tells that no attempt of the request was sent, here or elsewhere.
func (r *streamRecord) neverSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pb.Attempt == 0
}

func (r *streamRecord) heldBy() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder
}

// whole gives all of the record as it is now.
func (r *streamRecord) whole() *pb.StreamRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.bare()
	p.Body, p.Text = r.pb.Body, string(r.text)
	return p
}

// renewal gives what the holder lacks: no body, and of the text what is new. A
// renewal with all text would send a long answer's start a hundred times.
func (r *streamRecord) renewal() *pb.StreamRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.bare()
	start := min(r.heldText, len(r.text))
	p.TextStart, p.Text = uint32(start), string(r.text[start:])
	return p
}

// bare must be called with mu held.
func (r *streamRecord) bare() *pb.StreamRecord {
	body := r.pb.Body
	r.pb.Body = nil
	p := proto.Clone(r.pb).(*pb.StreamRecord)
	r.pb.Body = body
	return p
}

// taken notes that the holder has this word of the record.
func (r *streamRecord) taken(holder string, p *pb.StreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if holder != r.holder {
		r.holder, r.urgent, r.heldText = holder, true, 0
	}
	r.renewed = time.Now()
	r.heldText = max(r.heldText, int(p.TextStart)+len(p.Text))
}

// due tells whether the holder is to be told, and takes it as told.
func (r *streamRecord) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	grown := r.pb.Tokens >= r.renewedTokens+renewTokens ||
		(r.pb.Tokens > r.renewedTokens && now.Sub(r.renewed) >= renewEvery)
	alive := now.Sub(r.renewed) >= recordKeep/4 && !r.pb.Finished
	if r.holder == "" || !(r.urgent || grown || alive) {
		return false
	}
	r.urgent, r.renewed, r.renewedTokens = false, now, r.pb.Tokens
	return true
}

type recordKey struct{ member, requestID string }

type heldRecord struct {
	own  *streamRecord
	peer *pb.StreamRecord
	// until is when it is dropped; zero while the own stream runs.
	until time.Time
}

// recordStore keeps the records of own streams and of other entries' streams.
// Every look-up names the member: another member's id finds nothing.
type recordStore struct {
	mu    sync.Mutex
	byKey map[recordKey]*heldRecord
	bytes int
}

func newRecordStore() *recordStore {
	return &recordStore{byKey: make(map[recordKey]*heldRecord)}
}

// put notes a stream that this entry runs.
func (s *recordStore) put(r *streamRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := recordKey{r.pb.Member, r.pb.RequestId}
	s.drop(k)
	s.byKey[k] = &heldRecord{own: r}
}

// remember keeps or renews another entry's record; false when it can't, since
// it is a renewal of what is not held, or there is no room. An older word than
// what is held is left out: renewals can overtake each other.
func (s *recordStore) remember(p *pb.StreamRecord, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := recordKey{p.Member, p.RequestId}
	held := s.byKey[k]
	if held != nil && held.own != nil && held.until.IsZero() {
		return true
	}
	if held != nil && held.peer != nil && held.peer.WireId == p.WireId {
		if p.Attempt < held.peer.Attempt || p.Tokens < held.peer.Tokens {
			return true
		}
		if !renewFrom(p, held.peer) {
			return false
		}
	}
	if len(p.Body) == 0 || len(s.byKey) >= maxRecords || s.bytes+size(p) > maxRecordBytes {
		return false
	}
	s.drop(k)
	keep := recordKeep
	if p.Finished {
		keep = finishedKeep
	}
	s.byKey[k] = &heldRecord{peer: p, until: now.Add(keep)}
	s.bytes += size(p)
	return true
}

// renewFrom fills a renewal up with what is held; false when a part is missing.
func renewFrom(p, held *pb.StreamRecord) bool {
	if len(p.Body) > 0 {
		return true
	}
	start := int(p.TextStart)
	if start > len(held.Text) {
		return false
	}
	p.Body, p.Text, p.TextStart = held.Body, held.Text[:start]+p.Text, 0
	return true
}

func size(p *pb.StreamRecord) int { return len(p.Body) + len(p.Text) }

// drop must be called with mu held.
func (s *recordStore) drop(k recordKey) {
	if held := s.byKey[k]; held != nil {
		if held.peer != nil {
			s.bytes -= size(held.peer)
		}
		delete(s.byKey, k)
	}
}

// lookup finds the member's record, or nil.
func (s *recordStore) lookup(member, requestID string) *pb.StreamRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.byKey[recordKey{member, requestID}]
	if held == nil {
		return nil
	}
	if held.own != nil {
		return held.own.whole()
	}
	return proto.Clone(held.peer).(*pb.StreamRecord)
}

// ended lets an own record go after a while.
func (s *recordStore) ended(r *streamRecord, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.byKey[recordKey{r.pb.Member, r.pb.RequestId}]; held != nil && held.own == r {
		held.until = now.Add(finishedKeep)
	}
}

// sweep drops what is past its time and gives the own records that are due for
// renewal at their holders.
func (s *recordStore) sweep(now time.Time) []*streamRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*streamRecord
	for k, held := range s.byKey {
		if !held.until.IsZero() && now.After(held.until) {
			s.drop(k)
			continue
		}
		if held.own != nil && held.own.due(now) {
			due = append(due, held.own)
		}
	}
	return due
}
