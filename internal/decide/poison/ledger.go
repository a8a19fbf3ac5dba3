package poison

import (
	"cmp"
	"slices"
	"time"
)

// Ledger records, on one of several VMs, the requests that are suspected of
// crashing upstreams. The VMs share their suspicions as Records, one per
// fingerprint, that each VM reads and conditionally writes. It is not safe for
// concurrent use.
//
// A ledger counts the crashes of a chain: each attempt of the chain was sent after
// this VM had learned of the crash before it. Crashes that several attempts cause
// at the same time, or on several VMs that don't know of each other yet, count as
// one, whatever the clocks say. The count of a record is the length of the longest
// chain, so VMs combine their counts by taking the greater one.
type Ledger struct {
	suspicions map[uint64]*suspicion
}

// Record is the shared state of one suspicion.
type Record struct {
	Crashes  int    // length of the longest chain of crashes
	Revision uint64 // of the store, which orders the states of a record
}

// Write is a change that a VM wants to make to a shared record.
type Write struct {
	Fingerprint uint64
	Crashes     int    // 0: the record is to be deleted
	Expect      uint64 // revision of the record that is replaced; 0: there is none
}

// suspicion is what one VM knows of one fingerprint.
type suspicion struct {
	crashes int
	since   time.Time // when crashes last changed
	shared  Record    // the shared record as last read or written
	due     bool      // crashes may be shared
}

// NewLedger returns a ledger without suspicions.
func NewLedger() *Ledger { return &Ledger{suspicions: map[uint64]*suspicion{}} }

// RecordCrash records that a replica crashed while it had an attempt of a request
// that was sent at sentAt. It reports whether the crash counts.
func (l *Ledger) RecordCrash(now, sentAt time.Time, fp uint64) bool {
	s := l.suspicion(now, fp)
	if s.crashes >= Threshold || s.crashes > 0 && sentAt.Before(s.since) {
		return false
	}
	s.crashes++
	s.since = now
	if s.crashes == Threshold {
		s.due = true // attempts in flight may keep the request from ending
	}
	return true
}

// RecordAnswer records that an attempt of a request was answered, which shows that
// it crashes no upstream. It reports whether there was a suspicion.
func (l *Ledger) RecordAnswer(now time.Time, fp uint64) bool {
	s := l.suspicions[fp]
	if s == nil || s.crashes == 0 {
		return false
	}
	s.crashes, s.since, s.due = 0, now, true
	if s.shared.Crashes == 0 {
		delete(l.suspicions, fp)
	}
	return true
}

// RecordEnd records that a request has ended without an answer, so that its
// suspicion may be shared. It reports whether there is something to share. Requests
// that are answered after a retry are not worth a write to the store.
func (l *Ledger) RecordEnd(fp uint64) bool {
	s := l.suspicions[fp]
	if s == nil {
		return false
	}
	s.due = true
	return s.crashes != s.shared.Crashes
}

// Refuse reports whether the request with a fingerprint must be refused, and for
// how long.
func (l *Ledger) Refuse(now time.Time, fp uint64) (time.Duration, bool) {
	s := l.suspicions[fp]
	if s == nil || s.crashes < Threshold || s.expired(now) {
		return 0, false
	}
	return SuspicionTTL - now.Sub(s.since), true
}

// Crashes returns the number of crashes that count against a fingerprint.
func (l *Ledger) Crashes(fp uint64) int {
	if s := l.suspicions[fp]; s != nil {
		return s.crashes
	}
	return 0
}

// Merge applies a shared record that was read or has been written. It reports
// whether the request is refused from now on and was not before.
func (l *Ledger) Merge(now time.Time, fp uint64, r Record) bool {
	s := l.suspicion(now, fp)
	if r.Revision <= s.shared.Revision {
		return false
	}
	before := s.crashes
	if r.Crashes < s.shared.Crashes {
		s.crashes = r.Crashes // another VM has seen an answer
	}
	s.crashes = min(max(s.crashes, r.Crashes), Threshold)
	if s.crashes != before {
		s.since = now
	}
	s.shared = r
	return before < Threshold && s.crashes == Threshold
}

// Remove records that the shared record of a fingerprint was deleted at a revision:
// it has expired, or a VM has seen an answer.
func (l *Ledger) Remove(fp, revision uint64) {
	if s := l.suspicions[fp]; s != nil && revision > s.shared.Revision {
		delete(l.suspicions, fp)
	}
}

// Replace applies all shared records of the store. Suspicions whose record is
// missing, or has fewer crashes, are shared again: the store may have lost writes.
func (l *Ledger) Replace(now time.Time, records map[uint64]Record) {
	for _, s := range l.suspicions {
		s.shared = Record{}
	}
	for fp, r := range records {
		l.Merge(now, fp, r)
	}
}

// Pending returns up to n changes to make to shared records, the most crashes
// first.
func (l *Ledger) Pending(now time.Time, n int) []Write {
	var out []Write
	for fp, s := range l.suspicions {
		switch {
		case s.expired(now):
			delete(l.suspicions, fp)
		case s.due && s.crashes != s.shared.Crashes:
			out = append(out, Write{Fingerprint: fp, Crashes: s.crashes, Expect: s.shared.Revision})
		}
	}
	slices.SortFunc(out, func(a, b Write) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(n, len(out))]
}

// Len returns the number of suspicions.
func (l *Ledger) Len() int { return len(l.suspicions) }

// suspicion returns the suspicion against a fingerprint, which is new if there is
// none or it has expired.
func (l *Ledger) suspicion(now time.Time, fp uint64) *suspicion {
	s := l.suspicions[fp]
	if s != nil && s.expired(now) {
		s.crashes, s.since, s.due = 0, now, false
	}
	if s == nil {
		if len(l.suspicions) >= maxSuspects {
			l.evict()
		}
		s = &suspicion{since: now}
		l.suspicions[fp] = s
	}
	return s
}

// evict removes the suspicion with the fewest crashes; among equals, the oldest
// one, or the one with the smallest fingerprint.
func (l *Ledger) evict() {
	var victim uint64
	var least *suspicion
	for fp, s := range l.suspicions {
		if least == nil || cmp.Or(cmp.Compare(s.crashes, least.crashes), s.since.Compare(least.since), cmp.Compare(fp, victim)) < 0 {
			victim, least = fp, s
		}
	}
	delete(l.suspicions, victim)
}

func (s *suspicion) expired(now time.Time) bool { return now.Sub(s.since) >= SuspicionTTL }
