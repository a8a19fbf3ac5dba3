package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ranges is the number of ranges that keys are hashed into. It is part of the
// stored form: all VMs must use the same number.
const Ranges = 16

// RangeOf returns the range of a key.
func RangeOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % Ranges) }

// Status is what is known of a claimed request.
type Status uint8

// The statuses of a record.
const (
	// Claimed means that the request may be dispatched, and may have run.
	Claimed Status = iota
	// Released means that it did not run; the key is free again.
	Released
	// Done means that it ran and succeeded.
	Done
	// Failed means that it ran and failed.
	Failed
)

// Record is one claim, or the news of one.
type Record struct {
	Key         string
	Request     string // request id of the claimant
	Fingerprint uint64 // of the request
	Status      Status
	Snapshot    uint64
	Reply       []byte
	ReplyLost   bool // the reply was too large to be kept

	// abandoned marks a release that this owner made for an asker that left. It
	// holds only while this owner has the range: the next one may have granted
	// the claim. It is not stored.
	abandoned bool
}

// Piece is one write to a chain.
type Piece struct {
	Writer  string // chain of the writer
	Seal    bool   // the chain is closed; written by another
	Records []Record
}

// StoredPiece is a piece as it was read.
type StoredPiece struct {
	Chain    string
	Number   int
	Lease    uint64
	Revision uint64 // orders the pieces of all chains
	Piece    Piece
}

// The times of claims.
const (
	// Retention is how long a claim is kept at least.
	Retention = 10 * time.Minute
	// rotateEvery is the age at which a chain is followed by a new one.
	rotateEvery = time.Minute
	// LeaseTTL is the life of a chain's lease, which is never renewed.
	LeaseTTL = Retention + rotateEvery
	// pace is the least time between two writes of a range.
	pace = 50 * time.Millisecond
	// maxFencePause bounds the random pause after another writer was found, so
	// that two don't take a range from each other in step.
	maxFencePause = 20 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// outcomeRetry is the advice to who asks for a key whose outcome is open.
	outcomeRetry = 500 * time.Millisecond
	// maxUnknowns is the number of calls without a reply since the last write,
	// after which waiting claims are refused.
	maxUnknowns = 3
)

// The bounds of memory and writes.
const (
	maxRecords      = 1 << 18 // claims kept for a range
	maxBatchRecords = 2048
	maxBatchBytes   = 256 << 10
	// MaxReplyBytes is the largest reply that is kept with its claim.
	MaxReplyBytes  = 512
	recordOverhead = 32 // bytes of a record beside its texts
)

func (r *Record) size() int { return len(r.Key) + len(r.Request) + len(r.Reply) + recordOverhead }

// release is the record that frees a claim whose asker has left.
func (r *Record) release() Record {
	return Record{Key: r.Key, Request: r.Request, Fingerprint: r.Fingerprint, Status: Released, abandoned: true}
}

// outlives reports whether an unwritten record still holds after another owner
// may have had the range.
func (r *Record) outlives() bool { return r.Status != Claimed && !r.abandoned }
