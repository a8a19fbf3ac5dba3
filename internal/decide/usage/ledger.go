package usage

import "maps"

// CellID identifies who counted: a process of a VM.
type CellID struct {
	VM          string
	Incarnation uint64
}

// Counts is the number of requests of each team.
type Counts map[string]uint64

// Cell is what one process has counted in one window.
type Cell struct {
	ID     CellID
	Window int64
	Final  bool // the process counts nothing more for the window
	Counts Counts
}

// entry is a cell with the number of its last change.
type entry struct {
	Cell
	version uint64
	counted uint64 // version of the last change of the counts
	forward bool   // its VM does not reach the reporter
}

// Ledger holds the cells that a VM knows: its own, and those of other VMs.
type Ledger struct {
	self    CellID
	cells   map[int64]map[CellID]*entry
	version uint64
	first   int64 // first window that this process has counted, in full or in part
	begun   bool
	dropped int64 // windows before this one are no longer kept
}

// NewLedger returns the ledger of a process.
func NewLedger(self CellID) *Ledger {
	return &Ledger{self: self, cells: map[int64]map[CellID]*entry{}}
}

// Add counts a request of a team. It returns false if this process has already declared
// the window final or dropped it: the count is lost, since the window may be sealed.
func (l *Ledger) Add(window int64, team string) bool {
	if window < l.dropped {
		return false
	}
	e := l.entry(window, l.self)
	if e.Final {
		return false
	}
	l.version++
	e.version, e.counted = l.version, l.version
	e.Counts[team]++
	return true
}

// Advance opens this process's cell of the current window, declares its cells final that
// can get no more counts, and drops what is no longer needed. It reports whether a cell
// became final.
func (l *Ledger) Advance(current int64, final func(window int64) bool, sealedBefore int64) (changed bool) {
	if !l.begun || current < l.first {
		l.begun, l.first = true, current
	}
	for w := max(l.first, l.dropped, current-Kept+1); w <= current; w++ {
		e := l.entry(w, l.self)
		if !e.Final && final(w) {
			l.version++
			e.Final, e.version, changed = true, l.version, true
		}
	}
	for w := range l.cells {
		if w <= current-Kept || w < sealedBefore && final(w) {
			delete(l.cells, w)
			l.dropped = max(l.dropped, w+1)
		}
	}
	return changed
}

// Close declares all cells of this process final, at its end.
func (l *Ledger) Close() {
	for _, byID := range l.cells {
		if e := byID[l.self]; e != nil && !e.Final {
			l.version++
			e.Final, e.version = true, l.version
		}
	}
}

// Merge adds what another VM knows of a cell. current is the current window; cells of
// windows far from it are ignored, so that a wrong clock can't fill the memory. forward
// states that the cell's VM does not reach the reporter.
func (l *Ledger) Merge(current int64, c Cell, forward bool) {
	if c.ID == l.self || c.Window < l.dropped || c.Window <= current-Kept || c.Window > current+2 {
		return
	}
	e := l.entry(c.Window, c.ID)
	counted := forward && !e.forward // nothing of it was passed on before
	changed := counted || c.Final && !e.Final
	e.Final, e.forward = e.Final || c.Final, e.forward || forward
	for team, n := range c.Counts {
		if n > e.Counts[team] {
			e.Counts[team], changed, counted = n, true, true
		}
	}
	if changed {
		l.version++
		e.version = l.version
	}
	if counted {
		e.counted = l.version
	}
}

// entry returns a cell, which is created if it is missing.
func (l *Ledger) entry(window int64, id CellID) *entry {
	if l.cells[window] == nil {
		l.cells[window] = map[CellID]*entry{}
	}
	e := l.cells[window][id]
	if e == nil {
		e = &entry{Cell: Cell{ID: id, Window: window, Counts: Counts{}}}
		l.cells[window][id] = e
	}
	return e
}

// Since returns this process's cells, and those to be forwarded, that changed after a
// version, and the version of the ledger. A cell whose counts have not changed since has
// none.
func (l *Ledger) Since(version uint64) (cells []Cell, now uint64) {
	for _, byID := range l.cells {
		for id, e := range byID {
			if (id == l.self || e.forward) && e.version > version {
				c := e.Cell
				if c.Counts = nil; e.counted > version {
					c.Counts = maps.Clone(e.Counts)
				}
				cells = append(cells, c)
			}
		}
	}
	return cells, l.version
}

// Sum is the state of a window at a VM.
type Sum struct {
	Counts Counts
	Cells  int      // how many processes have reported
	Open   []string // VMs without a final cell
}

// Sum adds the cells of a window. The VMs in vms, and those that have sent a cell, are
// expected to have a final one.
func (l *Ledger) Sum(window int64, vms []string) Sum {
	out := Sum{Counts: Counts{}}
	closed := map[string]bool{}
	for id, e := range l.cells[window] {
		out.Cells++
		closed[id.VM] = closed[id.VM] || e.Final
		for team, n := range e.Counts {
			out.Counts[team] += n
		}
	}
	for _, vm := range vms {
		if _, ok := closed[vm]; !ok {
			closed[vm] = false
		}
	}
	for vm, final := range closed {
		if !final {
			out.Open = append(out.Open, vm)
		}
	}
	return out
}
