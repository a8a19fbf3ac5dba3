package upstream

import (
	"sync"
	"time"
)

// Record describes one request at one replica and its outcome.
type Record struct {
	Request     string
	Attempt     string
	Route       string
	Pool        string
	Replica     string
	Zone        string
	Version     string
	Snapshot    uint64
	Lo          uint32 // start of the key range held in Snapshot
	Idempotent  bool
	PayloadHash string
	Arrived     time.Time
	Started     time.Time // zero unless Ran
	Ended       time.Time
	Ran         bool // execution began
	Cold        bool // the replica was cold when the request arrived
	Outcome     Outcome
	// Outstanding is the number of requests executing or queued at the replica on
	// arrival, this one included.
	Outstanding int
}

// Outcome is the result of a request at a replica.
type Outcome string

// The outcomes.
const (
	OutcomePending      Outcome = "open" // not ended yet
	OutcomeAnswered     Outcome = "answered"
	OutcomeFailed       Outcome = "failed"
	OutcomeRejected     Outcome = "shed"
	OutcomeSnapshotGone Outcome = "snapshot-gone"
	OutcomeCancelled    Outcome = "cancelled"
	OutcomeExpired      Outcome = "expired"
	OutcomeCrashed      Outcome = "crashed"
)

// RequestLog holds the request records of a fleet. It is safe for concurrent use.
type RequestLog struct {
	mu      sync.Mutex // guards records and the records themselves
	records []*Record
}

func (l *RequestLog) open(r Record) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, &r)
	return &r
}

func (l *RequestLog) start(r *Record, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ran, r.Started = true, at
}

func (l *RequestLog) end(r *Record, at time.Time, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Outcome == OutcomePending {
		r.Ended, r.Outcome = at, o
	}
}

// Records returns copies of all records in order of arrival.
func (l *RequestLog) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Record, len(l.records))
	for i, r := range l.records {
		out[i] = *r
	}
	return out
}

// Reset removes all records.
func (l *RequestLog) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = nil
}
