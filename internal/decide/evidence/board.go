package evidence

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slots is the number of VMs whose counts are kept for a replica. One message about
	// a replica takes up to 5 + 2 * slots bytes.
	slots = 8
	// HalfLife is the age at which counts weigh half.
	HalfLife = 2 * time.Second
	// ageUnit is the unit of ages in messages, which have five bits for them.
	ageUnit = 200 * time.Millisecond
	maxAge  = 31 * ageUnit
	// countUnit is the unit of counts in messages, which have four bits for each. It
	// bounds the weight of one VM to 3.75 arrivals.
	countUnit = 0.25
	maxCount  = 15
)

// Key identifies one incarnation of a replica.
type Key uint32

// KeyOf returns the key of a replica that started at a time. Two of 12,000 replicas
// share a key with a chance of 2%; each then gets the evidence of both.
func KeyOf(replica string, start int64) Key {
	return Key(xxhash.Sum64String(replica + "\x00" + strconv.FormatInt(start, 10)))
}

// cell is the counts of one VM.
type cell struct {
	at       time.Time // of the latest arrival; zero: none
	arrived  uint8     // in countUnit
	rejected uint8
}

func (c *cell) valid(now time.Time) bool { return !c.at.IsZero() && now.Sub(c.at) <= maxAge }

// own is the counts of this VM, each of which loses half of its weight in HalfLife.
type own struct {
	at                time.Time
	arrived, rejected float64
}

func (o *own) add(now time.Time, rejected float64) {
	w := math.Exp2(-max(0, now.Sub(o.at).Seconds()) / HalfLife.Seconds())
	if o.at.IsZero() {
		w = 0
	}
	o.arrived, o.rejected, o.at = o.arrived*w+1, o.rejected*w+rejected, now
}

// cell returns the counts as they are sent, with their proportion if they exceed what
// can be sent.
func (o *own) cell() cell {
	scale := 1 / countUnit
	if o.arrived*scale > maxCount {
		scale = maxCount / o.arrived
	}
	return cell{at: o.at, arrived: uint8(math.Round(o.arrived * scale)), rejected: uint8(math.Round(o.rejected * scale))}
}

// entry is the evidence about one replica.
type entry struct {
	own   own
	cells [slots]cell
}

// Board is the evidence that a VM knows. It is not safe for concurrent use.
type Board struct {
	slot    int // of this VM
	entries map[Key]*entry
}

// New returns an empty board of a VM.
func New(vm string) *Board {
	return &Board{slot: int(xxhash.Sum64String(vm) % slots), entries: map[Key]*entry{}}
}

// Observe records an arrival of this VM's at a replica. It returns whether this is the
// first recent rejection that this VM knows of.
func (b *Board) Observe(now time.Time, key Key, rejected bool) (began bool) {
	e := b.entry(key)
	if !rejected {
		e.own.add(now, 0)
		return false
	}
	began = !b.rejects(now, e)
	e.own.add(now, 1)
	return began
}

// Shared returns the weighted arrivals and rejections at a replica that other VMs have
// observed, without the VM that has seen the most rejections.
func (b *Board) Shared(now time.Time, key Key) (arrived, rejected float64) {
	e := b.entries[key]
	if e == nil {
		return 0, 0
	}
	most, mostArrived := 0.0, 0.0
	for i := range e.cells {
		c := &e.cells[i]
		if i == b.slot || !c.valid(now) {
			continue // the counts in this VM's slot may be its own
		}
		w := countUnit * math.Exp2(-max(0, now.Sub(c.at).Seconds())/HalfLife.Seconds())
		r := w * float64(c.rejected)
		arrived, rejected = arrived+w*float64(c.arrived), rejected+r
		if r > most {
			most, mostArrived = r, w*float64(c.arrived)
		}
	}
	return max(0, arrived-mostArrived), max(0, rejected-most)
}

// Active returns the replicas with recent rejections, in no order. It drops evidence
// that is too old.
func (b *Board) Active(now time.Time) []Key {
	var keys []Key
	for key, e := range b.entries {
		switch {
		case b.rejects(now, e):
			keys = append(keys, key)
		case !b.recent(now, e):
			delete(b.entries, key)
		}
	}
	return keys
}

// Reset drops all evidence. The ages are not known any more after the process or its VM
// was suspended.
func (b *Board) Reset() { clear(b.entries) }

func (b *Board) entry(key Key) *entry {
	e := b.entries[key]
	if e == nil {
		e = &entry{}
		b.entries[key] = e
	}
	return e
}

// rejects reports whether a VM has seen a rejection lately.
func (b *Board) rejects(now time.Time, e *entry) bool {
	if c := e.own.cell(); c.rejected > 0 && c.valid(now) {
		return true
	}
	for i := range e.cells {
		if c := &e.cells[i]; c.rejected > 0 && c.valid(now) {
			return true
		}
	}
	return false
}

// recent reports whether any counts are still valid.
func (b *Board) recent(now time.Time, e *entry) bool {
	if c := e.own.cell(); c.valid(now) {
		return true
	}
	for i := range e.cells {
		if e.cells[i].valid(now) {
			return true
		}
	}
	return false
}
