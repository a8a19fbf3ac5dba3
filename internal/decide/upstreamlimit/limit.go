package upstreamlimit

import "time"

// Limit is what a VM knows of the limit of one incarnation of an upstream. It is not
// safe for concurrent use.
type Limit struct {
	rate    float64   // requests a second from all VMs together; 0: none
	since   time.Time // when rate was first heard
	heardAt time.Time // when the upstream last confirmed rate, to this VM or another one

	allowance allowance
}

// Rate returns the limit in requests a second; ok is false if there is none.
func (l *Limit) Rate() (rate float64, ok bool) { return l.rate, l.rate > 0 }

// HeardAt returns when the upstream last confirmed the limit, or its end, to any VM.
func (l *Limit) HeardAt() time.Time { return l.heardAt }

// Observe records the notice in an answer to a request that was sent at sentAt. served
// states that the request was executed successfully. It reports whether the limit has
// changed.
//
// Answers may overtake each other. So a limit, or a lower one, applies at once, while
// a higher one, or none, has to be in the answer to a request that was sent after the
// present one was first heard. An answer that isn't a success ends no limit.
func (l *Limit) Observe(now, sentAt time.Time, n Notice, served bool) bool {
	causal := sentAt.After(l.since)
	switch n.Kind {
	case Named:
		if l.rate > 0 && n.Rate > l.rate && !causal {
			return false
		}
		return l.set(now, n.Rate)
	case Absent:
		if served && l.rate > 0 && causal {
			return l.set(now, 0)
		}
	}
	return false
}

// Merge records what another VM heard at heardAt: a rate, or 0 for none. It reports
// whether the limit has changed.
func (l *Limit) Merge(heardAt time.Time, rate float64) bool {
	if !heardAt.After(l.heardAt) {
		return false
	}
	return l.set(heardAt, rate)
}

func (l *Limit) set(at time.Time, rate float64) bool {
	l.heardAt = at
	if rate == l.rate {
		return false
	}
	if l.rate == 0 {
		// The share fills up from now on.
		l.allowance.share, l.allowance.tokens, l.allowance.filledAt = Share{}, 0, at
	}
	l.rate, l.since = rate, at
	return true
}

// Report is what a VM knows of the limit of an upstream, for other VMs.
type Report struct {
	Upstream string
	Start    int64   // incarnation of the upstream
	Rate     float64 // 0: the limit has ended
	HeardAt  time.Time
}
