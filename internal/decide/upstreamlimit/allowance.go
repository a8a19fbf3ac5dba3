package upstreamlimit

import "time"

const (
	// window is the time in which the arrivals at an upstream are bounded, besides
	// their rate: requests may wait for a connection and arrive together. It is longer
	// than the platform's 4 s, as requests may arrive closer together than they were
	// sent.
	window = 4200 * time.Millisecond
	// staleAfter is the time without news of a limit after which a VM without a share
	// sends probes.
	staleAfter = 10 * time.Second
	// urgentHold bounds the time for which less urgent requests leave the next request
	// to more urgent ones, after one of these was turned away.
	urgentHold = 2 * time.Second
)

// allowance is what a VM may still send to an upstream within its share: a token bucket
// of the share's rate and burst, and a bound on the arrivals in window.
type allowance struct {
	share    Share
	tokens   float64
	filledAt time.Time
	reserved int         // requests of which it is not known yet when they arrived
	arrivals []time.Time // within window, oldest first

	deniedAt       time.Time // when a request was last turned away
	deniedPriority int       // its priority; 0 is the most urgent
}

// SetShare sets this VM's share of the limit.
func (l *Limit) SetShare(now time.Time, s Share) {
	l.fill(now)
	l.allowance.share = s
	l.allowance.tokens = min(l.allowance.tokens, s.Burst)
}

// rateAt returns the share's rate and burst now. s.Rate is 0 for a VM without a share,
// which probes the upstream when it has long heard nothing of the limit.
func (l *Limit) rateAt(now time.Time) (rate, burst float64) {
	s := l.allowance.share
	if s.Rate == 0 && s.ProbeRate > 0 && now.Sub(l.heardAt) > staleAfter {
		return s.ProbeRate, 1
	}
	return s.Rate, s.Burst
}

// fill adds the tokens of the time that has passed.
func (l *Limit) fill(now time.Time) {
	a := &l.allowance
	rate, burst := l.rateAt(now)
	if passed := now.Sub(a.filledAt); passed > 0 {
		a.tokens = min(a.tokens+rate*passed.Seconds(), burst)
	}
	a.filledAt = now
	for len(a.arrivals) > 0 && now.Sub(a.arrivals[0]) >= window {
		a.arrivals = a.arrivals[1:]
	}
}

// Allows reports whether a request of a priority may be sent to the upstream now.
func (l *Limit) Allows(now time.Time, priority int) bool {
	if l.rate == 0 {
		return true
	}
	l.fill(now)
	a := &l.allowance
	rate, burst := l.rateAt(now)
	most := window.Seconds()*rate + burst
	if a.tokens < 1 || float64(a.reserved+len(a.arrivals)+1) > most {
		return false
	}
	return priority <= a.deniedPriority || now.Sub(a.deniedAt) > l.holdFor(rate)
}

// holdFor is the time in which the next request after one that was turned away is due.
func (l *Limit) holdFor(rate float64) time.Duration {
	return min(time.Duration(float64(time.Second)/rate), urgentHold)
}

// Denied records that a request of a priority was turned away for lack of room.
func (l *Limit) Denied(now time.Time, priority int) {
	a := &l.allowance
	if rate, _ := l.rateAt(now); rate > 0 && (priority <= a.deniedPriority || now.Sub(a.deniedAt) > l.holdFor(rate)) {
		a.deniedAt, a.deniedPriority = now, priority
	}
}

// Wait returns the time until the VM may send the next request; ok is false if it has
// no share.
func (l *Limit) Wait(now time.Time) (d time.Duration, ok bool) {
	l.fill(now)
	rate, _ := l.rateAt(now)
	if rate == 0 {
		return 0, false
	}
	return time.Duration(max(0, 1-l.allowance.tokens) / rate * float64(time.Second)), true
}

// Reserve takes a request that Allows has allowed. It counts as arriving until Record
// is called.
func (l *Limit) Reserve(now time.Time) {
	l.fill(now)
	l.allowance.tokens--
	l.allowance.reserved++
}

// Record records when a reserved request was sent; zero: it never was.
func (l *Limit) Record(at time.Time) {
	a := &l.allowance
	a.reserved--
	if at.IsZero() {
		a.tokens = min(a.tokens+1, a.share.Burst)
		return
	}
	if n := len(a.arrivals); n > 0 && at.Before(a.arrivals[n-1]) {
		at = a.arrivals[n-1] // keeps the order; counts the request for longer
	}
	a.arrivals = append(a.arrivals, at)
}
