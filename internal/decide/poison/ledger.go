package poison

import (
	"cmp"
	"slices"
	"time"
)

// unprovenRetryAfter is when a request may come again that is refused because of losses
// that are not resolved. They are within about this time.
const unprovenRetryAfter = 200 * time.Millisecond

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
//
// A lost connection may be a crash or not. It counts at once, since the next attempt
// may crash the next replica, until Resolve tells which it was. Only crashes that are
// proven are shared, or make a request refused for long.
//
// A request that is answered here again and again crashes nothing, although it may be in
// flight at each crash that another one causes.
type Ledger struct {
	suspicions map[uint64]*suspicion
	answers    answers
	lastLoss   LossID
}

// LossID identifies a lost connection that counts as a crash until it is resolved.
type LossID uint64

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
	proven   int       // crashes of the chain that are proven
	unproven []LossID  // losses of the chain that may be crashes
	since    time.Time // when the chain last changed
	shared   Record    // the shared record as last read or written
	due      bool      // proven may be shared
}

// length is the length of the chain if all losses are crashes.
func (s *suspicion) length() int { return s.proven + len(s.unproven) }

// reset ends the chain.
func (s *suspicion) reset(now time.Time) {
	s.proven, s.unproven, s.since, s.due = 0, nil, now, false
}

// NewLedger returns a ledger without suspicions.
func NewLedger() *Ledger {
	return &Ledger{suspicions: map[uint64]*suspicion{}, answers: newAnswers()}
}

// RecordLoss records that the connection of an attempt that was sent at sentAt was lost.
// It counts as a crash until it is resolved. counted is false if it adds nothing to the
// chain, whatever it was, or if the request was answered lately.
func (l *Ledger) RecordLoss(now, sentAt time.Time, fp uint64) (id LossID, counted bool) {
	if l.answers.recently(now, fp) {
		return 0, false
	}
	s := l.suspicion(now, fp)
	if s.length() >= Threshold || s.length() > 0 && sentAt.Before(s.since) {
		return 0, false
	}
	l.lastLoss++
	s.unproven = append(s.unproven, l.lastLoss)
	s.since = now
	return l.lastLoss, true
}

// Resolve records whether a loss was a crash of the replica. It reports whether there is
// something to share. A loss that was followed by an answer, or is part of a crash that
// another VM has shared, is ignored.
func (l *Ledger) Resolve(fp uint64, id LossID, crashed bool) bool {
	s := l.suspicions[fp]
	if s == nil {
		return false
	}
	i := slices.Index(s.unproven, id)
	if i < 0 {
		return false
	}
	s.unproven = slices.Delete(s.unproven, i, i+1)
	switch {
	case crashed:
		s.proven++
		if s.proven == Threshold {
			s.due = true // attempts in flight may keep the request from ending
		}
	case s.length() == 0 && s.shared.Crashes == 0:
		delete(l.suspicions, fp)
	}
	return s.due && s.proven != s.shared.Crashes
}

// RecordAnswer records that an attempt of a request was answered, which shows that
// it crashes no upstream. It reports whether there was a suspicion.
func (l *Ledger) RecordAnswer(now time.Time, fp uint64) bool {
	l.answers.record(now, fp)
	s := l.suspicions[fp]
	if s == nil || s.length() == 0 {
		return false
	}
	s.reset(now)
	s.due = true
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
	return s.proven != s.shared.Crashes
}

// Refuse reports whether the request with a fingerprint must be refused, and for
// how long: briefly while losses of its chain are not resolved.
func (l *Ledger) Refuse(now time.Time, fp uint64) (time.Duration, bool) {
	s := l.suspicions[fp]
	switch {
	case s == nil || s.length() < Threshold || s.expired(now):
		return 0, false
	case s.proven < Threshold:
		return unprovenRetryAfter, true
	}
	return SuspicionTTL - now.Sub(s.since), true
}

// Crashes returns the number of crashes that count against a fingerprint.
func (l *Ledger) Crashes(fp uint64) int {
	if s := l.suspicions[fp]; s != nil {
		return s.length()
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
	before := s.length()
	if r.Crashes < s.shared.Crashes {
		s.proven, s.unproven = r.Crashes, nil // another VM has seen an answer
	}
	length := max(s.length(), min(r.Crashes, Threshold))
	s.proven = min(max(s.proven, r.Crashes), Threshold)
	s.unproven = s.unproven[s.length()-length:] // what the record has is among these
	if s.length() != before {
		s.since = now
	}
	s.shared = r
	return before < Threshold && s.length() == Threshold
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
		case s.due && s.proven != s.shared.Crashes:
			out = append(out, Write{Fingerprint: fp, Crashes: s.proven, Expect: s.shared.Revision})
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
		s.reset(now)
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
		if least == nil || cmp.Or(cmp.Compare(s.length(), least.length()), s.since.Compare(least.since), cmp.Compare(fp, victim)) < 0 {
			victim, least = fp, s
		}
	}
	delete(l.suspicions, victim)
}

func (s *suspicion) expired(now time.Time) bool { return now.Sub(s.since) >= SuspicionTTL }
