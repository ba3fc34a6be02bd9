package host

import "time"

// patientSilenceTimeout bounds the silence of a replica whose answers are known to be slow. It is
// below the lease, since a later answer brings none.
const patientSilenceTimeout = 1400 * time.Millisecond

// pollPatience adapts polls to how long the answers of control take at present.
//
// Failure: a link delays the leader's answers to 0.8 s. Polls that are given up after 0.7 s bring
// no lease for as long as the link is slow, though the leader leads.
type pollPatience struct {
	// slow is the address of the last replica that left a poll without an answer for too long, until
	// it answers as fast as others.
	slow string
}

// silence returns how long a poll of the replica may receive no data.
func (p *pollPatience) silence(address string) time.Duration {
	if address == p.slow {
		return patientSilenceTimeout
	}
	return watchSilenceTimeout
}

// hold returns how long the replica may hold a poll. A slow one must not add to its delay.
func (p *pollPatience) hold(address string) time.Duration {
	if address == p.slow {
		return 0
	}
	return watchHoldTime
}

// observe records how long a poll of the replica took.
func (p *pollPatience) observe(address string, took time.Duration, answered bool) {
	switch {
	case !answered && took >= watchSilenceTimeout:
		p.slow = address
	case answered && address == p.slow && took < watchSilenceTimeout-watchHoldTime:
		p.slow = ""
	}
}
