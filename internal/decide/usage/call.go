package usage

import "time"

// Call is a report to the service.
type Call struct {
	Sealed
	Holder string
	Token  uint64
	// Until is when the call must have ended, since boot.
	Until time.Duration
}

// CallResult is the result of a call.
type CallResult int

// The results of a call. After NoReply it may be carried out, also later.
const (
	Accepted CallResult = iota
	Fenced              // the service has seen a higher token
	Limited             // more calls than the service accepts
	NoReply
	Rejected // the service does not accept this report
	NotSent  // the lease could have ended before the call
)

// Call returns the call that is due. ok is false if there is none, if one is being made, or
// if the lease could pass to another VM before the call has ended.
func (r *Reporter) Call(now Now) (c Call, ok bool) {
	if r.calling || !r.slotsRead || !r.lease.CanCall(now.Boot, r.cfg.CallTimeout) {
		return Call{}, false
	}
	var due *report
	for w, p := range r.pending {
		switch {
		case w < r.next-Kept:
			delete(r.pending, w)
			r.event(Event{Kind: Unreported, Window: w})
		case now.Boot >= p.retry.at && (due == nil || w < due.Window):
			due = p
		}
	}
	if due == nil {
		return Call{}, false
	}
	if due.retry.delay == 0 && len(r.pending) == 1 {
		r.answeredAt = now.Boot // nothing was owed before
	}
	r.calling = true
	return Call{Sealed: due.Sealed, Holder: r.cfg.Self.VM, Token: r.lease.Token(), Until: now.Boot + r.cfg.CallTimeout}, true
}

// MayCall reports whether a call may still be sent. It is asked again just before the
// call's bytes are written, since the process may have been paused since Call.
func (r *Reporter) MayCall(now time.Duration, c Call) bool {
	return now < c.Until && r.lease.Token() == c.Token && r.lease.Valid(c.Until)
}

// Called records the result of a call.
func (r *Reporter) Called(now Now, c Call, result CallResult) {
	r.calling = false
	if result != NotSent {
		r.lease.CallEnded(now.Boot)
	}
	if result == Accepted || result == Fenced || result == Limited || result == Rejected {
		r.answeredAt = now.Boot
	}
	if r.lease.Token() != c.Token || !r.lease.Held() {
		return
	}
	p := r.pending[c.Window]
	switch {
	case result == Fenced:
		r.lease.Fenced()
		r.lostLease(true)
	case p == nil:
	case result == Accepted:
		delete(r.pending, c.Window)
		r.event(Event{Kind: Reported, Window: c.Window, Total: total(c.Counts), Late: now.True.Sub(r.cfg.Windows.End(c.Window))})
	case result == Rejected:
		delete(r.pending, c.Window)
		r.event(Event{Kind: Unreported, Window: c.Window})
	default:
		p.retry.failed(now.Boot)
	}
}

// EventKind is a kind of Event.
type EventKind int

// The kinds of events.
const (
	Acquired     EventKind = iota // this VM has taken the lease
	Lost                          // it has lost it
	SealedWindow                  // the counts of a window are in the store
	Reported                      // the service has accepted a window
	Missing                       // windows of which nothing is known
	Unreported                    // a sealed window that was not accepted in time
	NoToken                       // no token is left
	Released                      // it has handed the lease over, since the store turns it away
	Yielded                       // this VM has left the lease to others, since the service does not answer it
)

// String returns the name of the kind in metrics.
func (k EventKind) String() string {
	return [...]string{"acquired", "lost", "sealed", "reported", "missing", "unreported", "no_token", "released", "yielded"}[k]
}

// Event is something that is logged and counted.
type Event struct {
	Kind   EventKind
	Window int64
	Until  int64  // last window that is missing
	Token  uint64 // of the lease
	Cells  int    // processes whose counts are in a window
	Open   []string
	Total  uint64
	Late   time.Duration // from the end of the window to its acceptance
}

// String returns the name of the result in metrics and log lines.
func (r CallResult) String() string {
	return [...]string{"accepted", "fenced", "limited", "no_reply", "rejected", "not_sent"}[r]
}
