package control

import (
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// The bounds of what peers may tell.
const (
	maxVetoes      = 1024
	maxReasonBytes = 512
)

// vetoKey is what makes two vetoes the same.
type vetoKey struct {
	pool, version string
	revision      uint64
}

// vetoes is a set that only grows, but for vetoes of rollouts that the tables
// in force no longer hold.
type vetoes struct {
	mu  sync.Mutex // guards set
	set map[vetoKey]fleetstate.Veto
}

func newVetoes() *vetoes { return &vetoes{set: map[vetoKey]fleetstate.Veto{}} }

// merge adds vetoes and reports whether any was new.
func (v *vetoes) merge(list []fleetstate.Veto, t *tables.Tables) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	grown := false
	for _, veto := range list {
		k := vetoKey{veto.Pool, veto.Version, veto.Revision}
		if _, known := v.set[k]; known || !veto.IsLive(t) || len(v.set) >= maxVetoes {
			continue
		}
		veto.Reason = veto.Reason[:min(len(veto.Reason), maxReasonBytes)]
		v.set[k] = veto
		grown = true
	}
	return grown
}

// prune drops the vetoes of rollouts that t does not hold.
func (v *vetoes) prune(t *tables.Tables) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for k, veto := range v.set {
		if !veto.IsLive(t) {
			delete(v.set, k)
		}
	}
}

// all returns the vetoes in a fixed order.
func (v *vetoes) all() []fleetstate.Veto {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]fleetstate.Veto, 0, len(v.set))
	for _, veto := range v.set {
		out = append(out, veto)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Pool != b.Pool {
			return a.Pool < b.Pool
		}
		if a.Version != b.Version {
			return a.Version < b.Version
		}
		return a.Revision < b.Revision
	})
	return out
}

// hashKeys is equal on nodes that know the same vetoes; 0 for none.
func (v *vetoes) hashKeys() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var h uint64
	for k := range v.set {
		h ^= xxhash.Sum64String(k.pool + "\x00" + k.version + "\x00" + strconv.FormatUint(k.revision, 10))
	}
	return h
}
