package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ranges is the number of ranges that keys are hashed into. It is part of the
// stored format: all VMs must use the same number.
const Ranges = 16

// RangeOf returns the range of a key.
func RangeOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % Ranges) }

// Status is the last known state of a claimed request.
type Status uint8

// Statuses of a record. The values are stored.
const (
	// Claimed: the request may be dispatched and may have been executed.
	Claimed Status = iota
	// Released: the request was not executed; the key is free again.
	Released
	// Done: the request was executed and succeeded.
	Done
	// Failed: the request was executed and failed.
	Failed
)

// Record is a claim or an update of one.
type Record struct {
	Key         string
	Request     string // id of the request that holds the claim
	Fingerprint uint64 // of the request
	Status      Status
	Snapshot    uint64
	Reply       []byte
	ReplyLost   bool // the reply exceeded MaxReplyBytes and was not kept

	// abandoned marks a release that this owner made because the requester
	// stopped waiting. It is valid only while this owner has the range, since
	// the next owner may have granted the claim. It is not stored.
	abandoned bool
}

// Piece is the content of one write to a chain.
type Piece struct {
	Writer  string // name of the writer's own chain
	Seal    bool   // ends the chain; written by the owner of another one
	Records []Record
}

// StoredPiece is a piece as read from the store.
type StoredPiece struct {
	Chain    string
	Number   int
	Lease    uint64
	Revision uint64 // orders the pieces of all chains
	Piece    Piece
}

// Times of claims and of their writes.
const (
	// Retention is the minimum time for which a claim is kept.
	Retention = 10 * time.Minute
	// rotateAfter is the age at which a chain is replaced by a new one.
	rotateAfter = time.Minute
	// LeaseTTL is the lifetime of a chain's lease. The lease is never renewed,
	// so a claim written just before the rotation is still kept for Retention.
	LeaseTTL = Retention + rotateAfter
	// writeInterval is the minimum time between two writes of a range.
	writeInterval = 50 * time.Millisecond
	// maxFenceBackoff bounds the random pause after another writer was found.
	// The pause is random so that two owners don't keep fencing each other.
	maxFenceBackoff = 20 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed store call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// outcomeRetryAfter is the retry delay advised for a key whose outcome is
	// still unknown.
	outcomeRetryAfter = 500 * time.Millisecond
	// maxUnansweredCalls is the number of store calls without a reply since the
	// last write at which waiting claims are refused.
	maxUnansweredCalls = 3
)

// Limits of memory and of writes.
const (
	maxRecordsPerRange = 1 << 18 // claims kept for a range
	maxBatchRecords    = 2048
	maxBatchBytes      = 256 << 10
	// MaxReplyBytes is the size of the largest reply kept with its claim.
	MaxReplyBytes  = 512
	recordOverhead = 32 // bytes of a record besides its texts
)

func (r *Record) size() int { return len(r.Key) + len(r.Request) + len(r.Reply) + recordOverhead }

// release returns the record that frees a claim whose requester stopped waiting.
func (r *Record) release() Record {
	return Record{Key: r.Key, Request: r.Request, Fingerprint: r.Fingerprint, Status: Released, abandoned: true}
}

// survivesTakeover reports whether an unwritten record is still valid after
// another process may have owned the range.
func (r *Record) survivesTakeover() bool { return r.Status != Claimed && !r.abandoned }
