package revision

import (
	"crypto/sha256"
	"time"
)

// Digest is the SHA-256 of the tables' text.
type Digest = [sha256.Size]byte

// Offer is a revision that the platform or a peer claims to be committed. The
// platform gives the revision, edit id and digest in one value, so one
// revision has one digest.
type Offer struct {
	Revision uint64
	EditID   string
	Digest   Digest
}

// Decision is what becomes of an offer.
type Decision uint8

// The verdicts.
const (
	// Adopt means that the offer is the newest proved revision now.
	Adopt Decision = iota + 1
	// Known means that the node has this revision already.
	Known
	// Stale means that the node has a newer revision.
	Stale
	// Unproved means that the text is not the one that the offer names.
	Unproved
	// Conflict means that the node has other contents for this revision.
	Conflict
)

// String returns the verdict's name in logs and metrics.
func (v Decision) String() string {
	switch v {
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

// Config bounds the start of a node.
type Config struct {
	// MinPeers is the number of peers whose revision a starting node hears
	// before it puts tables in force, or all peers where there are fewer.
	MinPeers int
	// StartupTimeout is the longest time that a starting node waits for peers
	// that don't answer. It waits without end for a revision that a peer has
	// and the node can't prove yet.
	StartupTimeout time.Duration
}

// DefaultConfig returns the bounds for a fleet of any size.
func DefaultConfig() Config {
	return Config{MinPeers: 3, StartupTimeout: 3 * time.Second}
}

// Tracker is the state of one node. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	started time.Time
	best    Offer
	hasBest bool
	open    bool // the start is over: best is in force

	peers   int             // other nodes known; negative until told
	answers map[string]bool // peers that told their revision since the start
	heard   uint64          // highest revision that anybody told
}

// New returns the machine of a node that starts now.
func New(cfg Config, now time.Time) *Tracker {
	return &Tracker{cfg: cfg, started: now, peers: -1, answers: map[string]bool{}}
}

// Offer judges an offer whose text has the digest text.
func (m *Tracker) Offer(o Offer, text Digest) Decision {
	switch {
	case o.Revision == 0 || o.Digest != text:
		return Unproved
	case m.hasBest && o.Revision < m.best.Revision:
		return Stale
	case m.hasBest && o.Revision == m.best.Revision && o.Digest != m.best.Digest:
		return Conflict
	case m.hasBest && o.Revision == m.best.Revision:
		return Known
	}
	m.best, m.hasBest = o, true
	m.heard = max(m.heard, o.Revision)
	return Adopt
}

// SetPeerCount tells how many other nodes are known to exist.
func (m *Tracker) SetPeerCount(n int) { m.peers = n }

// ObservePeer tells that a peer has revision in force, 0 for none.
func (m *Tracker) ObservePeer(peer string, revision uint64) {
	if !m.open {
		m.answers[peer] = true
	}
	m.heard = max(m.heard, revision)
}

// Newest returns the newest proved revision.
func (m *Tracker) Newest() (Offer, bool) { return m.best, m.hasBest }

// Behind reports whether somebody has a newer revision than this node.
func (m *Tracker) Behind() bool { return m.heard > m.best.Revision }

// HighestReported returns the highest revision that anybody told.
func (m *Tracker) HighestReported() uint64 { return m.heard }

// InForce returns the revision to use for new requests at now. It never
// returns a lower revision than before.
func (m *Tracker) InForce(now time.Time) (Offer, bool) {
	if !m.open && m.hasBest && m.startOver(now) {
		m.open = true
		m.answers = nil
	}
	return m.best, m.open
}

// startOver reports whether the node has heard enough to put best in force.
func (m *Tracker) startOver(now time.Time) bool {
	if m.Behind() {
		return false
	}
	if !now.Before(m.started.Add(m.cfg.StartupTimeout)) {
		return true
	}
	return m.peers >= 0 && len(m.answers) >= min(m.cfg.MinPeers, m.peers)
}

// NextCheck returns when InForce may change without an event, or the zero time.
func (m *Tracker) NextCheck() time.Time {
	if m.open {
		return time.Time{}
	}
	return m.started.Add(m.cfg.StartupTimeout)
}
