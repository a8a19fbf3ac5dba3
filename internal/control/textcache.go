package control

import (
	"sync"

	"github.com/sapphirewall/sapphirewall/internal/decide/revision"
	"github.com/sapphirewall/sapphirewall/internal/delta"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// maxTexts is the number of revisions whose texts are kept to compute deltas.
const maxTexts = 8

// parsedText is a verified revision with its parsed tables.
type parsedText struct {
	offer  revision.Offer
	tables *tables.Tables
}

// textCache caches the newest verified revisions and the deltas between them.
type textCache struct {
	mu         sync.Mutex // guards the fields below
	byRevision map[uint64]parsedText
	order      []uint64             // keys of byRevision, oldest first
	deltas     map[[2]uint64][]byte // by old and new revision
}

func newTextCache() *textCache {
	return &textCache{byRevision: map[uint64]parsedText{}, deltas: map[[2]uint64][]byte{}}
}

// add adds a revision, which must be newer than all others. It evicts the oldest
// above maxTexts and discards the deltas.
func (t *textCache) add(o parsedText) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byRevision[o.offer.Revision] = o
	t.order = append(t.order, o.offer.Revision)
	if len(t.order) > maxTexts {
		delete(t.byRevision, t.order[0])
		t.order = t.order[1:]
	}
	t.deltas = map[[2]uint64][]byte{}
}

func (t *textCache) get(r uint64) (parsedText, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.byRevision[r]
	return o, ok
}

// delta returns the delta between two revisions, if both are cached and the delta
// is smaller than the newer text.
func (t *textCache) delta(from, to uint64) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, okA := t.byRevision[from]
	b, okB := t.byRevision[to]
	if !okA || !okB {
		return nil, false
	}
	key := [2]uint64{from, to}
	d, cached := t.deltas[key]
	if !cached {
		d = delta.Make(a.tables.Text, b.tables.Text, delta.Lines)
		t.deltas[key] = d
	}
	return d, len(d) < len(b.tables.Text)
}
