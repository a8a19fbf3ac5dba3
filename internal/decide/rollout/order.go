package rollout

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
)

// Order asks that a pool's traffic be moved to the replicas of a version, which run
// beside the present ones, within a time from when it was given.
type Order struct {
	Pool     string
	Version  string
	Duration time.Duration // in whole milliseconds
	Revision uint64        // of the store, when the order was first read
}

// Repeats reports whether an order that is read now is a former one that was written
// again after the store had come back from an older copy. Within an era, an order
// that is written again is a new one.
func (o Order) Repeats(former Order) bool {
	same := o.Pool == former.Pool && o.Version == former.Version && o.Duration == former.Duration
	return same && (o.Revision == former.Revision || era.Of(o.Revision) > era.Of(former.Revision))
}

// Phase is how far an order has been carried out.
type Phase uint8

// The phases. Trial, Probe and Takeover may alternate, and Commit may end in RolledBack;
// Completed and RolledBack are final.
const (
	// NoPhase: not known to a judge yet. The new version gets nothing.
	NoPhase Phase = iota
	// Trial: the new version gets a small share, as a sample.
	Trial
	// Probe: the new version is suspected, and gets a larger sample.
	Probe
	// Takeover: the new version gets nearly all requests, and the old one a few as a
	// control group.
	Takeover
	// Commit: the new version gets all requests, and those at the old one end.
	Commit
	// Completed: the old version's replicas have been given up.
	Completed
	// RolledBack: the new version is bad, and gets nothing any more.
	RolledBack
)

var phaseNames = [...]string{"none", "trial", "probe", "takeover", "commit", "completed", "rolled-back"}

// String returns the name of the phase, as in records and logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// ParsePhase returns the phase with a name; ok is false if there is none.
func ParsePhase(name string) (p Phase, ok bool) {
	for i, n := range phaseNames {
		if n == name {
			return Phase(i), true
		}
	}
	return NoPhase, false
}

// Final reports whether no other phase follows.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// Guidance is what a judge tells a VM about an order.
type Guidance struct {
	Phase  Phase
	Age    time.Duration // of the order, at most
	Reason string        // of RolledBack
}
