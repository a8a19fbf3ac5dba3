package control

import (
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// Limits on the vetoes accepted from peers.
const (
	maxVetoes      = 1024
	maxReasonBytes = 512 // longer reasons are truncated
)

// vetoKey identifies a veto: two vetoes with the same key are the same.
type vetoKey struct {
	pool, version string
	revision      uint64
}

// vetoes is a set of vetoes. They are removed only once the tables in force no
// longer contain their rollout.
type vetoes struct {
	mu  sync.Mutex // guards set
	set map[vetoKey]fleetstate.Veto
}

func newVetoes() *vetoes { return &vetoes{set: map[vetoKey]fleetstate.Veto{}} }

// merge adds the vetoes of rollouts of t or of newer tables, up to maxVetoes, and
// reports whether any was new.
func (v *vetoes) merge(list []fleetstate.Veto, t *tables.Tables) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	added := false
	for _, veto := range list {
		k := vetoKey{veto.Pool, veto.Version, veto.Revision}
		if _, known := v.set[k]; known || !veto.AppliesTo(t) || len(v.set) >= maxVetoes {
			continue
		}
		veto.Reason = veto.Reason[:min(len(veto.Reason), maxReasonBytes)]
		v.set[k] = veto
		added = true
	}
	return added
}

// prune removes the vetoes of rollouts that t does not contain.
func (v *vetoes) prune(t *tables.Tables) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for k, veto := range v.set {
		if !veto.AppliesTo(t) {
			delete(v.set, k)
		}
	}
}

// all returns the vetoes ordered by pool, version and revision.
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

// hashKeys returns a hash that is equal on nodes with the same vetoes, 0 for none.
func (v *vetoes) hashKeys() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var h uint64
	for k := range v.set {
		h ^= xxhash.Sum64String(k.pool + "\x00" + k.version + "\x00" + strconv.FormatUint(k.revision, 10))
	}
	return h
}
