package revision

import (
	"crypto/sha256"
	"time"
)

// Digest is the SHA-256 digest of the tables' text.
type Digest = [sha256.Size]byte

// Offer is a revision that the platform or a peer reports as committed. The
// platform stores revision, edit ID and digest in one value, so a revision has
// exactly one digest.
type Offer struct {
	Revision uint64
	EditID   string
	Digest   Digest
}

// Decision is the result of an offer.
type Decision uint8

// The decisions.
const (
	// Adopt means that the offer is now the newest verified revision.
	Adopt Decision = iota + 1
	// Known means that the node already has this revision.
	Known
	// Stale means that the node has a newer revision.
	Stale
	// Unproved means that the offer has no revision or that the text does not
	// match its digest.
	Unproved
	// Conflict means that the node has different contents for this revision.
	Conflict
)

// String returns the decision's name in logs and metrics.
func (d Decision) String() string {
	switch d {
	case Adopt:
		return "adopt"
	case Known:
		return "known"
	case Stale:
		return "stale"
	case Unproved:
		return "unproved"
	case Conflict:
		return "conflict"
	default:
		return "unspecified"
	}
}

// Config holds the limits of a node's startup.
type Config struct {
	// MinPeers is the number of peers that must report their revision before a
	// starting node puts tables in force; with fewer peers, all must report.
	MinPeers int
	// StartupTimeout is the longest time that a starting node waits for peers
	// that don't report. There is no limit on the wait for a revision that a
	// peer has in force and the node has not verified yet.
	StartupTimeout time.Duration
}

// DefaultConfig returns the limits for a fleet of any size.
func DefaultConfig() Config {
	return Config{MinPeers: 3, StartupTimeout: 3 * time.Second}
}

// Tracker tracks the revisions that one node has verified or that others have
// reported to it. It is not safe for concurrent use.
type Tracker struct {
	cfg         Config
	started     time.Time
	newest      Offer
	hasNewest   bool
	startupDone bool // newest is in force

	peerCount int             // number of other nodes; negative until SetPeerCount
	reported  map[string]bool // peers that have reported their revision since the start
	highest   uint64          // highest revision that was offered or reported
}

// New returns the tracker of a node that starts now.
func New(cfg Config, now time.Time) *Tracker {
	return &Tracker{cfg: cfg, started: now, peerCount: -1, reported: map[string]bool{}}
}

// Offer decides on an offer. The digest text is that of the text received with
// it.
func (t *Tracker) Offer(o Offer, text Digest) Decision {
	switch {
	case o.Revision == 0 || o.Digest != text:
		return Unproved
	case t.hasNewest && o.Revision < t.newest.Revision:
		return Stale
	case t.hasNewest && o.Revision == t.newest.Revision && o.Digest != t.newest.Digest:
		return Conflict
	case t.hasNewest && o.Revision == t.newest.Revision:
		return Known
	}
	t.newest, t.hasNewest = o, true
	t.highest = max(t.highest, o.Revision)
	return Adopt
}

// SetPeerCount sets the number of other nodes known to exist.
func (t *Tracker) SetPeerCount(n int) { t.peerCount = n }

// ObservePeer records that a peer has revision in force, 0 for none.
func (t *Tracker) ObservePeer(peer string, revision uint64) {
	if !t.startupDone {
		t.reported[peer] = true
	}
	t.highest = max(t.highest, revision)
}

// Newest returns the newest verified revision.
func (t *Tracker) Newest() (Offer, bool) { return t.newest, t.hasNewest }

// Behind reports whether a peer has a newer revision than this node.
func (t *Tracker) Behind() bool { return t.highest > t.newest.Revision }

// HighestReported returns the highest revision that was offered and verified or
// that a peer has reported.
func (t *Tracker) HighestReported() uint64 { return t.highest }

// InForce returns the revision in force at now, if any. It never returns a lower
// revision than before.
func (t *Tracker) InForce(now time.Time) (Offer, bool) {
	if !t.startupDone && t.hasNewest && t.canCompleteStartup(now) {
		t.startupDone = true
		t.reported = nil
	}
	return t.newest, t.startupDone
}

// canCompleteStartup reports whether enough peers have reported, or the timeout
// has passed, so that the newest verified revision may be put in force.
func (t *Tracker) canCompleteStartup(now time.Time) bool {
	if t.Behind() {
		return false
	}
	if !now.Before(t.started.Add(t.cfg.StartupTimeout)) {
		return true
	}
	return t.peerCount >= 0 && len(t.reported) >= min(t.cfg.MinPeers, t.peerCount)
}

// NextCheck returns the time at which the result of InForce may change without a
// call of another method, or the zero time.
func (t *Tracker) NextCheck() time.Time {
	if t.startupDone {
		return time.Time{}
	}
	return t.started.Add(t.cfg.StartupTimeout)
}
