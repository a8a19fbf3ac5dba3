package usage

import "time"

const (
	// eraShift is the number of bits of a token below the era of the store, which has
	// 16 bits. Together they fit a JSON number.
	eraShift = 37
	maxToken = 1<<53 - 1
	// tokenUnit is the unit of the time in a token: in 37 bits it lasts until the year
	// 2514.
	tokenUnit = 125 * time.Millisecond
	// clockMargin covers the difference in rate between the clocks of two VMs within a
	// lease, and the time from the check of a lease to the call.
	clockMargin = 100 * time.Millisecond
	// keptWrites is the number of writes whose time of sending is kept. One of them may be
	// applied after its reply was given up.
	keptWrites = 64
)

// Record is the lease as it is stored.
type Record struct {
	Holder  string
	Session uint64 // of the holder's process
	Write   uint64 // number of the write within the session
	Token   uint64
	Era     uint64 // of the store when the lease was acquired
	Next    int64  // first window that is not sealed
	Acked   int64  // windows up to here have been accepted, or given up
	// Floor is the first window whose sealed counts can be taken from the store. Counts of
	// earlier ones may be of a write that was made for an earlier era and came late: the
	// store gives out revisions again after a restore.
	Floor int64

	Revision uint64 // 0: there is no record
}

// Outcome is the result of a write to the store.
type Outcome int

// The results of a write. After Unknown, the write may still be applied later.
const (
	Applied Outcome = iota
	Conflict
	NotApplied
	Unknown
)

// Lease decides when a VM may act as the reporter. All times are since boot.
type Lease struct {
	self    string
	session uint64
	term    time.Duration
	started time.Duration

	seen       bool
	record     Record // as last read or written
	observedAt time.Duration
	uncertain  bool // the record has to be read before the next write

	held       bool
	validUntil time.Duration
	sent       map[uint64]time.Duration // when the last writes of this session were sent
	lastWrite  uint64
	writing    *Record
	fenced     uint64 // highest token that the service has rejected

	called   bool
	lastCall time.Duration // when the last call had ended
	known    uint64        // highest token that a VM has held, as far as known
	tried    uint64        // highest token that this VM has written, perhaps in vain
}

// NewLease returns the lease as seen by a process that starts now. The session must differ
// between the processes of a VM.
func NewLease(self string, session uint64, term, now time.Duration) *Lease {
	return &Lease{self: self, session: session, term: term, started: now, sent: map[uint64]time.Duration{}}
}

// Learn records a token that another VM knows.
func (l *Lease) Learn(token uint64) {
	if token <= maxToken {
		l.known = max(l.known, token)
	}
}

// Held reports whether this VM is the holder as far as it knows. Its lease may have run
// out; only CanCall permits a call.
func (l *Lease) Held() bool { return l.held }

// Token returns the token of the lease that is held.
func (l *Lease) Token() uint64 { return l.record.Token }

// Valid reports whether the lease can't pass to another VM before a time.
func (l *Lease) Valid(until time.Duration) bool {
	return l.held && !l.passed() && until+clockMargin <= l.validUntil
}

// passed reports whether another VM has held the lease since, as when the store has lost
// writes.
func (l *Lease) passed() bool { return l.record.Token < l.known }

// CanCall reports whether a call that ends after timeout at the latest may be made now.
func (l *Lease) CanCall(now, timeout time.Duration) bool { return l.Valid(now + timeout) }

// CallEnded records the end of a call, by its reply or its timeout.
func (l *Lease) CallEnded(now time.Duration) { l.called, l.lastCall = true, max(l.lastCall, now) }

// Fenced records that the service has seen a higher token. The lease is given up: no call
// is made with its token again.
func (l *Lease) Fenced() {
	l.fenced = max(l.fenced, l.record.Token)
	l.Forget()
	l.uncertain = true
}

// Forget drops the lease and what was read, so that the term of another holder is waited
// for from the next reading on.
func (l *Lease) Forget() { l.held, l.seen = false, false }

// Observed records what was read from the store in an era. now is when the reply had
// arrived, so that the holder's last write was sent before. A record of an earlier era is
// held by nobody: later writes may have been lost, and with them higher tokens.
func (l *Lease) Observed(now time.Duration, era uint64, r Record) {
	l.Learn(r.Token)
	if !l.seen || r.Revision != l.record.Revision {
		l.seen, l.observedAt = true, now
	}
	l.held = r.Revision != 0 && r.Holder == l.self && r.Session == l.session && r.Era == era && r.Token > l.fenced && r.Token >= l.known
	if sent, ok := l.sent[r.Write]; l.held && ok {
		l.validUntil = max(l.validUntil, sent+l.term)
	}
	l.record, l.writing, l.uncertain = r, nil, false
}

// MayAcquire reports whether the former holder's lease has ended, and this VM has made no
// call for the time of a lease.
func (l *Lease) MayAcquire(now time.Duration) bool {
	wait := l.term + clockMargin
	return l.seen && !l.uncertain && !l.held && l.writing == nil && now >= l.observedAt+wait && now >= l.started+wait &&
		(!l.called || now >= l.lastCall+wait)
}

// nextToken returns a token above all that are known. The era raises it above those that
// were lost with an older copy of the store; the time does so where the store lost writes
// without a new era.
func (l *Lease) nextToken(era uint64, t time.Time) uint64 {
	return max(max(l.record.Token, l.known, l.tried)+1, era<<eraShift+uint64(max(0, t.UnixNano()/int64(tokenUnit))))
}

// Acquire returns the record with which this VM takes the lease, made of r with its era and
// windows. ok is false if no token is left.
func (l *Lease) Acquire(now time.Duration, t time.Time, r Record) (out Record, ok bool) {
	r.Token = l.nextToken(r.Era, t)
	if r.Token > maxToken {
		return Record{}, false
	}
	l.tried = r.Token
	return l.write(now, r), true
}

// Renew returns the record with which the holder extends its lease.
func (l *Lease) Renew(now time.Duration, next, acked int64) Record {
	r := l.record
	r.Next, r.Acked = next, acked
	return l.write(now, r)
}

// write begins a write that replaces the record last seen.
func (l *Lease) write(now time.Duration, r Record) Record {
	r.Holder, r.Session, r.Write = l.self, l.session, l.lastWrite+1
	r.Revision = l.record.Revision
	l.lastWrite = r.Write
	l.sent[r.Write] = now
	delete(l.sent, r.Write-keptWrites)
	l.writing = &r
	return r
}

// Wrote records the result of the write, which the store made in an era. The lease runs
// from when the write was sent. It is valid only in the era that its token was made for.
func (l *Lease) Wrote(revision, era uint64, o Outcome) Outcome {
	r := l.writing
	if r == nil {
		return NotApplied
	}
	if o == Applied && era != r.Era {
		o = Conflict
	}
	switch o {
	case Applied:
		l.record, l.held, l.writing = *r, true, nil
		l.record.Revision = revision
		l.Learn(r.Token)
		l.validUntil = l.sent[r.Write] + l.term
	case NotApplied:
		l.writing = nil
	case Conflict, Unknown:
		l.uncertain = true
	}
	return o
}
