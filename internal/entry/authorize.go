package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// caller is who makes a request, as far as the request itself tells.
type caller struct {
	// credential is the hash of what was shown for a member, empty for none.
	credential  string
	membersOnly bool
	// member is whom the way in has bound the request to, empty for none.
	member string
	// routeRank counts for callers whose member has no rank of its own.
	routeRank int
}

func callerOf(ev *RequestArrived) caller {
	return caller{credential: ev.Credential, membersOnly: ev.MembersOnly, member: ev.Work.Member, routeRank: ev.Work.Rank}
}

// CredentialLimits says how long credentials count at an entry that control does not reach.
type CredentialLimits struct {
	// Strict refuses callers then; else they are served as was declared last.
	Strict bool
	// ConfirmedWithin is how old control's last word may be for that.
	ConfirmedWithin time.Duration
}

// authorize finds the member that holds the request's credential by the declaration in
// force, and gives the refusal where there is none. It is asked for each sending anew.
//
// Failure: a request waits, for a place, between two attempts or for its prompt to be read
// elsewhere, while its credential is taken away or given to another member. Judged by what
// was in force when it came, it runs for the wrong member, or for one that is shut out.
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
	other := member != nil && c.member != "" && c.member != member.Name
	switch {
	case c.membersOnly && c.credential == "":
		return refuseUnknownCredential()
	case c.membersOnly && (member == nil || other):
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

// refuseCredential refuses one that no member has, for good only by a view in force: it may
// have been declared meanwhile.
func (r *Reducer) refuseCredential() *outcome.Refusal {
	if r.stale() {
		return refuseOutdatedCredentials()
	}
	return refuseUnknownCredential()
}

// credentialsOutdated tells whether a credential may have been taken away without word of it.
func (r *Reducer) credentialsOutdated() bool {
	limits := r.cfg.Credentials
	return limits.Strict && r.now >= r.view.confirmedAt+limits.ConfirmedWithin
}
