package suspects

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
)

// Board holds the suspicions of one VM. It is safe for concurrent use.
type Board struct {
	mu     sync.Mutex // guards ledger
	ledger *poison.Ledger
	wake   chan struct{} // receives when there is something to share
}

// NewBoard returns a board without suspicions.
func NewBoard() *Board { return &Board{ledger: poison.NewLedger(), wake: make(chan struct{}, 1)} }

// RecordLoss records that the connection of an attempt of a request, sent at sentAt, was
// lost. If counted is true, Resolve has to be called.
func (b *Board) RecordLoss(now, sentAt time.Time, fp uint64) (id poison.LossID, counted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.RecordLoss(now, sentAt, fp)
}

// Resolve records whether a loss that counts was a crash of the replica.
func (b *Board) Resolve(fp uint64, id poison.LossID, crashed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger.Resolve(fp, id, crashed) {
		b.notify()
	}
}

// RecordAnswer records that an attempt of a request was answered. It reports
// whether that ended a suspicion.
func (b *Board) RecordAnswer(now time.Time, fp uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ended := b.ledger.RecordAnswer(now, fp)
	if ended {
		b.notify()
	}
	return ended
}

// RecordEnd records that a request has ended without an answer, so that what it
// shows is shared.
func (b *Board) RecordEnd(fp uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger.RecordEnd(fp) {
		b.notify()
	}
}

// Refuse reports whether a request must be refused, and for how long.
func (b *Board) Refuse(now time.Time, fp uint64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Refuse(now, fp)
}

// Crashes returns the number of crashes that count against a request.
func (b *Board) Crashes(fp uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Crashes(fp)
}

// notify wakes the Service.
func (b *Board) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// next returns the next change to write; ok is false if there is none.
func (b *Board) next(now time.Time) (w poison.Write, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if pending := b.ledger.Pending(now, 1); len(pending) > 0 {
		return pending[0], true
	}
	return poison.Write{}, false
}

// merge applies a record. It reports whether the request is refused from now on.
func (b *Board) merge(now time.Time, fp uint64, r poison.Record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.notify()
	return b.ledger.Merge(now, fp, r)
}

func (b *Board) remove(fp, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Remove(fp, revision)
}

func (b *Board) replace(now time.Time, records map[uint64]poison.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Replace(now, records)
	b.notify()
}
