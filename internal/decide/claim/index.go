package claim

import "time"

// decision is the result of a claim.
type decision uint8

const (
	needsWrite   decision = iota // the claim is new and must be written
	writePending                 // a claim of the same request is being written
	granted                      // the same request already holds the claim
	executed                     // a request with this key was executed; its record is returned
	duplicate                    // another request holds the key, outcome unknown
	keyReused                    // the key was used with another fingerprint
	limitReached                 // maxRecordsPerRange claims are kept
)

// trackedRecord is a record in memory; durable once it is known to be stored.
type trackedRecord struct {
	Record
	durable bool
}

// claimIndex holds the claims of one range in memory.
type claimIndex struct {
	byKey map[string]*trackedRecord
	queue []expiry // oldest first
}

// expiry is the time at which a record may be dropped.
type expiry struct {
	key     string
	request string
	at      time.Time
}

func newClaimIndex() *claimIndex { return &claimIndex{byKey: map[string]*trackedRecord{}} }

// claim decides on a claim and adds it if it is new. For an existing claim it
// returns the existing record.
func (x *claimIndex) claim(now time.Time, r Record) (decision, Record) {
	x.dropExpired(now)
	old := x.byKey[r.Key]
	switch {
	case old == nil && len(x.byKey) >= maxRecordsPerRange:
		return limitReached, r
	case old == nil, old.Status == Released:
		x.put(now, r, false)
		return needsWrite, r
	case old.Fingerprint != r.Fingerprint:
		return keyReused, old.Record
	case old.Status != Claimed:
		return executed, old.Record
	case old.Request != r.Request:
		return duplicate, old.Record
	case !old.durable:
		return writePending, old.Record
	}
	return granted, old.Record
}

// put adds a record, replacing an earlier one with the same key.
func (x *claimIndex) put(now time.Time, r Record, durable bool) {
	x.byKey[r.Key] = &trackedRecord{Record: r, durable: durable}
	x.queue = append(x.queue, expiry{r.Key, r.Request, now.Add(Retention)})
}

// settle records the outcome of a claimed request and reports whether the
// record changed and must be written. Only the request that holds the claim can
// settle it, and only once.
func (x *claimIndex) settle(r Record) bool {
	old := x.byKey[r.Key]
	if old == nil || old.Request != r.Request || old.Status != Claimed || r.Status == Claimed {
		return false
	}
	old.Status, old.Snapshot, old.Reply, old.ReplyLost = r.Status, r.Snapshot, r.Reply, r.ReplyLost
	return true
}

// markDurable records that a claim was written.
func (x *claimIndex) markDurable(r *Record) {
	if old := x.byKey[r.Key]; old != nil && old.Request == r.Request {
		old.durable = true
	}
}

// dropUnwritten removes a claim unless it is durable.
func (x *claimIndex) dropUnwritten(r *Record) {
	if old := x.byKey[r.Key]; old != nil && old.Request == r.Request && !old.durable {
		delete(x.byKey, r.Key)
	}
}

// loadStored applies a record read from the store. Records are applied in the
// order in which they were written.
func (x *claimIndex) loadStored(now time.Time, r Record) {
	if r.Status == Claimed {
		x.put(now, r, true)
		return
	}
	if x.byKey[r.Key] == nil {
		x.put(now, r, true)
		return
	}
	x.settle(r)
}

// dropExpired removes the records that have been kept for Retention.
func (x *claimIndex) dropExpired(now time.Time) {
	n := 0
	for n < len(x.queue) && !now.Before(x.queue[n].at) {
		e := &x.queue[n]
		if old := x.byKey[e.key]; old != nil && old.Request == e.request {
			delete(x.byKey, e.key)
		}
		n++
	}
	x.queue = x.queue[n:]
}

// hasOutcome reports whether the record of r's request already has r's status.
// The record may not have been written yet.
func (x *claimIndex) hasOutcome(r Record) bool {
	old := x.byKey[r.Key]
	return old != nil && old.Request == r.Request && old.Status == r.Status
}
