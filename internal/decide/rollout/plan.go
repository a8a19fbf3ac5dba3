package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// stage is one step of a rollout: the share of the pool's traffic that goes to
// the new version, and the share of the time from start to by that must have
// passed before the stage may start.
type stage struct {
	share float64
	after float64
}

// stages are the stages of every rollout. A version that no stage has confirmed
// yet may get at most 5% of the traffic; the first share is lower, since hashing
// distributes requests unevenly.
var stages = [...]stage{
	{share: 0.03, after: 0},
	{share: 0.10, after: 0.10},
	{share: 0.25, after: 0.20},
	{share: 0.50, after: 0.30},
	{share: 1, after: 0.45},
}

// LastStage is the stage with the final share.
const LastStage = len(stages) - 1

// holdShare is the highest share of the new version during a hold.
const holdShare = 0.5

// Progress is the fleet's shared state of one rollout. All fields only grow: a
// stage is never lowered, a veto is final, and a hold is only extended.
type Progress struct {
	Stage     int
	Vetoed    bool
	HoldUntil time.Time // until then the share is at most holdShare
}

// Merge returns the field-wise maximum of the progress of two nodes.
func (p Progress) Merge(o Progress) Progress {
	if o.HoldUntil.After(p.HoldUntil) {
		p.HoldUntil = o.HoldUntil
	}
	p.Stage = max(p.Stage, o.Stage)
	p.Vetoed = p.Vetoed || o.Vetoed
	return p
}

// Share returns the share of the pool's requests that go to r.To.
func Share(r *tables.Rollout, p Progress, now time.Time) float64 {
	if p.Vetoed || now.Before(r.Start) {
		return 0
	}
	reached := min(max(p.Stage, 0), LastStage)
	for reached > 0 && now.Before(earliestStart(r, reached)) {
		reached--
	}
	share := min(stages[reached].share, r.Share)
	if now.Before(p.HoldUntil) {
		share = min(share, holdShare)
	}
	return share
}

// earliestStart returns the earliest time at which stage n may start.
func earliestStart(r *tables.Rollout, n int) time.Time {
	return r.Start.Add(time.Duration(stages[n].after * float64(r.End.Sub(r.Start))))
}

// Choose returns the version that a request to the pool must go to, or "" when
// the pool has no rollout. All parts of a request get the same version. When the
// pool has no upstreams of the old version, every request goes to the new one,
// unless it is vetoed.
func Choose(pool *tables.Pool, p Progress, now time.Time, requestID string) string {
	r := pool.Rollout
	if r == nil {
		return ""
	}
	if !p.Vetoed && !hasVersion(pool, r.From) {
		return r.To
	}
	if hashPosition(pool.Name, requestID) < Share(r, p, now) {
		return r.To
	}
	return r.From
}

func hasVersion(pool *tables.Pool, version string) bool {
	for i := range pool.Upstreams {
		if pool.Upstreams[i].Version == version {
			return true
		}
	}
	return false
}

// hashPosition maps the requests of a pool uniformly to [0, 1). It doesn't depend
// on the share, so a request that goes to the new version at one share goes to
// it at every higher share too.
func hashPosition(pool, requestID string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(requestID)
	return float64(d.Sum64()>>11) / (1 << 53)
}
