package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// caller identifies who makes a request, as far as the request itself shows.
type caller struct {
	// credential is the hash of the credential that was presented for a member, empty for none.
	credential  string
	membersOnly bool
	// member is the member that the listener has bound the request to, empty for none.
	member string
	// routeRank applies to callers whose member has no rank of its own.
	routeRank int
}

func callerOf(ev *RequestArrived) caller {
	return caller{credential: ev.Credential, membersOnly: ev.MembersOnly, member: ev.Work.Member, routeRank: ev.Work.Rank}
}

// CredentialLimits says how long credentials stay valid at an entry that has lost contact with
// control.
type CredentialLimits struct {
	// Strict refuses callers in that case. Otherwise they are served by the last known
	// declaration.
	Strict bool
	// ConfirmedWithin is how old the last view confirmed by control may be when Strict is set.
	ConfirmedWithin time.Duration
}

// authorize finds the member that holds the request's credential in the current declaration, and
// returns a refusal if there is none. It is called again before each dispatch.
//
// A request can wait for a server, between two attempts or for a separate prefill, while its
// credential is revoked or moved to another member. Checked only on arrival, it would run for
// the wrong member or for one that has been locked out.
func (r *Reducer) authorize(q *request) *outcome.Refusal {
	c := &q.caller
	if c.credential == "" && !c.membersOnly {
		return nil
	}
	if r.view.declaration == nil {
		return outcome.NoConfiguration()
	}
	if r.credentialsOutdated() {
		return refuseOutdatedCredentials()
	}
	member := r.view.members[c.credential]
	otherMember := member != nil && c.member != "" && c.member != member.Name
	switch {
	case c.membersOnly && c.credential == "":
		return refuseUnknownCredential()
	case c.membersOnly && (member == nil || otherMember):
		return r.refuseCredential()
	case c.credential == "" || member == nil:
		q.work.Member, q.work.Rank = c.member, c.routeRank
		return nil
	}
	q.work.Member, q.work.MemberWeight, q.work.Rank = member.Name, member.Weight, c.routeRank
	if member.Rank != nil {
		q.work.Rank = *member.Rank
	}
	return nil
}

// refuseCredential refuses a credential that no member holds. The refusal is final only if the
// view's lease is valid: otherwise the credential may have been declared in the meantime.
func (r *Reducer) refuseCredential() *outcome.Refusal {
	if r.stale() {
		return refuseOutdatedCredentials()
	}
	return refuseUnknownCredential()
}

// credentialsOutdated reports whether a credential may have been revoked without this entry
// knowing of it.
func (r *Reducer) credentialsOutdated() bool {
	limits := r.cfg.Credentials
	return limits.Strict && r.now >= r.view.confirmedAt+limits.ConfirmedWithin
}
