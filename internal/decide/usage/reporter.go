package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// Candidates is the number of VMs, by rank, that may take the lease. Five outlast the
	// loss of a rack, and are few enough to ask the store during an outage.
	Candidates = 5
	// quietTime is how long a VM hears nothing of a holder before it reads the lease: more
	// than the time between two exchanges of a candidate. rankDelay separates the candidates, so that the first
	// has the lease before the next one tries.
	quietTime = 1750 * time.Millisecond
	rankDelay = time.Second
	// settleTime is how long a new reporter waits for the cells of VMs that do not know
	// it yet.
	settleTime = time.Second
	// holderTime is how long cells are sent to a holder that is not heard of.
	holderTime = 10 * time.Second
	// renewShare is the part of the lease's term that is left when it is extended: more
	// than a call takes. The write of a window extends it too.
	renewShare = 4.0 / 9
	// yieldAfter is how long the service may not answer the holder before it leaves the
	// lease to VMs that may reach it, and yieldTime how long it does so. While the service
	// answers nobody, the lease goes round every 15 s or so.
	yieldAfter = 8 * time.Second
	yieldTime  = 20 * time.Second
	// minRetry and maxRetry bound the time between two tries of a failed call.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
)

// Now is the present time on both clocks.
type Now struct {
	Boot time.Duration // since boot, with suspensions
	True time.Time
}

// Config configures a Reporter.
type Config struct {
	Self        CellID
	Windows     Windows
	Term        time.Duration // of the lease
	CallTimeout time.Duration
}

// Sealed is the sums of a window that all reporters report.
type Sealed struct {
	Window int64
	Counts Counts
}

// Reporter decides what a VM does for the reports. Each action is followed by the method
// that records its result, before the next action of its kind.
type Reporter struct {
	cfg    Config
	lease  *Lease
	ledger *Ledger
	vms    []string
	rank   int

	holder      string // as heard of
	former      string // the last one heard of, also if it does not answer
	holderToken uint64
	heardAt     time.Duration

	next, acked int64
	knownNext   int64 // windows before it are sealed, as heard of
	heldSince   time.Duration
	slotsRead   bool // pending has what earlier reporters have sealed
	// pending has the windows that are known to be sealed and not known to be accepted.
	pending    map[int64]*report
	writing    *StoreAction
	storeRetry retry
	calling    bool
	answeredAt time.Duration // when the service last answered, or owed no answer
	yieldUntil time.Duration // this VM leaves the lease to others
	era        uint64        // of the store
	eraAt      time.Duration // when this VM first knew of it
	steppedAt  time.Duration // when the last call to the store was decided on
	refused    int           // writes of the holder in a row that the store has refused
	successor  string        // VM that the token released was given up to
	released   uint64
	granted    uint64 // token that its holder has given up to this VM
	grantedAt  time.Duration
	passed     Event // windows that the acquisition being written passes over

	events []Event
}

// report is a sealed window that has not been accepted yet.
type report struct {
	Sealed
	retry retry
}

// retry is the time of the next try, with a growing delay.
type retry struct {
	at    time.Duration
	delay time.Duration
}

func (r *retry) failed(now time.Duration) {
	r.delay = min(max(2*r.delay, minRetry), maxRetry)
	r.at = now + r.delay
}

// NewReporter returns the reporter of a process that starts now.
func NewReporter(cfg Config, ledger *Ledger, now time.Duration) *Reporter {
	return &Reporter{
		cfg: cfg, ledger: ledger, lease: NewLease(cfg.Self.VM, cfg.Self.Incarnation, cfg.Term, now),
		rank: Candidates, heardAt: now - quietTime, eraAt: now, pending: map[int64]*report{},
	}
}

// SetVMs sets the VMs that serve, ordered by rank.
func (r *Reporter) SetVMs(ranked []string) {
	r.vms = ranked
	if r.rank = slices.Index(ranked, r.cfg.Self.VM); r.rank < 0 {
		r.rank = Candidates
	}
}

// Holder is what a VM knows of the holder of the lease.
type Holder struct {
	VM    string // "": none known
	Token uint64
	Age   time.Duration // since the holder stated that it is the holder
	Next  int64         // first window that is not sealed
}

// Hear records what another VM knows of the holder.
func (r *Reporter) Hear(now Now, h Holder) {
	r.lease.Learn(h.Token)
	if h.Next <= r.cfg.Windows.At(now.True) {
		r.knownNext = max(r.knownNext, h.Next)
	}
	if h.VM == "" || h.VM == r.cfg.Self.VM || h.Token < r.holderToken {
		return
	}
	r.holder, r.former, r.holderToken = h.VM, h.VM, h.Token
	r.heardAt = max(r.heardAt, now.Boot-h.Age)
}

// Holder returns what this VM knows of the holder.
func (r *Reporter) Holder(now Now) Holder {
	out := Holder{Token: r.lease.known, Next: r.SealedBefore()}
	switch {
	case r.lease.Valid(now.Boot):
		out.VM, out.Token = r.cfg.Self.VM, r.lease.Token()
	case r.holder != "" && now.Boot < r.heardAt+holderTime:
		out.VM, out.Token, out.Age = r.holder, r.holderToken, now.Boot-r.heardAt
	}
	return out
}

// Unreached records that a VM did not answer.
func (r *Reporter) Unreached(vm string) {
	if r.holder == vm {
		r.holder = ""
	}
}

// SealedBefore returns the first window that is not known to be sealed.
func (r *Reporter) SealedBefore() int64 { return max(r.next, r.knownNext) }

// hears reports whether another VM holds the lease as far as it is known.
func (r *Reporter) hears(now Now) bool { return r.holder != "" && now.Boot < r.heardAt+quietTime }

// Targets returns the VMs that get this VM's cells: the holder and the first of the others.
func (r *Reporter) Targets(now Now) []string {
	var out []string
	if h := r.Holder(now).VM; h != "" && h != r.cfg.Self.VM {
		out = append(out, h)
	}
	count := 2
	if r.lease.Valid(now.Boot) {
		count = 1
	}
	for _, vm := range r.vms {
		if len(out) < count && vm != r.cfg.Self.VM && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// ActionKind is a kind of call to the store.
type ActionKind int

// The kinds of calls to the store.
const (
	None       ActionKind = iota
	Observe               // read the record of the lease
	ReadSealed            // read the sealed windows
	Write                 // replace the record, and write a sealed window with it
)

// StoreAction is a call to the store.
type StoreAction struct {
	Kind   ActionKind
	Record Record  // to be written, if the stored one is at Record.Revision
	Sealed *Sealed // to be written with it; nil: none
}

// StoreAction returns the call to the store that is due, given its era.
func (r *Reporter) StoreAction(now Now, era uint64) StoreAction {
	if r.lease.held && (r.lease.record.Era != era || r.lease.passed()) {
		r.lease.Forget()
		r.lease.uncertain = true
	}
	if era != r.era {
		r.era, r.eraAt = era, now.Boot
	}
	r.resume(now)
	r.yield(now)
	r.release(now)
	switch {
	case now.Boot < r.storeRetry.at || r.writing != nil:
		return StoreAction{}
	case r.lease.held && !r.lease.uncertain:
		return r.holderAction(now)
	case !r.lease.held && r.shouldWait(now):
		return StoreAction{}
	case r.lease.uncertain || !r.lease.seen:
		return StoreAction{Kind: Observe}
	case r.lease.MayAcquire(now.Boot) || r.mayInherit(now, era):
		return r.acquire(now, era)
	}
	return StoreAction{}
}

// shouldWait reports whether this VM leaves the lease to others.
func (r *Reporter) shouldWait(now Now) bool {
	if r.inherits(now) {
		return false
	}
	if r.hears(now) {
		r.lease.Forget()
		return true
	}
	rank := r.rank
	if former := slices.Index(r.vms, r.former); former >= 0 && former < rank {
		rank-- // the former holder does not take part
	}
	return r.rank >= Candidates || now.Boot < r.yieldUntil || now.Boot < r.heardAt+quietTime+time.Duration(rank)*rankDelay
}

// acquire returns the write that takes the lease. Windows that may have been sealed before
// this VM knew of the store's era are not sealed again, since their counts are not known.
func (r *Reporter) acquire(now Now, era uint64) StoreAction {
	last := r.lease.record
	next, floor := max(last.Next, r.knownNext), last.Floor
	if last.Revision == 0 || last.Era != era {
		next = max(next, r.cfg.Windows.unsealable(now.True.Add(r.eraAt-now.Boot)))
		floor = next
	}
	r.passed = Event{}
	if last.Revision != 0 && next > last.Next {
		r.passed = Event{Kind: Missing, Window: last.Next, Until: next - 1}
	}
	record, ok := r.lease.Acquire(now.Boot, now.True, Record{Era: era, Next: next, Acked: last.Acked, Floor: floor})
	if !ok {
		r.storeRetry.failed(now.Boot)
		r.event(Event{Kind: NoToken})
		return StoreAction{}
	}
	return r.write(StoreAction{Kind: Write, Record: record})
}

func (r *Reporter) write(a StoreAction) StoreAction {
	r.writing = &a
	return a
}

// holderAction returns the call to the store that is due at the holder.
func (r *Reporter) holderAction(now Now) StoreAction {
	renew := !r.lease.Valid(now.Boot + time.Duration(renewShare*float64(r.cfg.Term)))
	if !r.slotsRead && !renew {
		return StoreAction{Kind: ReadSealed}
	}
	var sealed *Sealed
	if r.slotsRead {
		sealed = r.nextSealed(now)
	}
	if sealed == nil && !renew {
		return StoreAction{}
	}
	next := r.next
	if sealed != nil {
		next = sealed.Window + 1
	}
	return r.write(StoreAction{Kind: Write, Record: r.lease.Renew(now.Boot, next, r.ackedThrough()), Sealed: sealed})
}

// nextSealed returns the sums of the next window if they are complete, or late. Windows of
// which nothing is known are passed over as missing.
func (r *Reporter) nextSealed(now Now) *Sealed {
	w := r.cfg.Windows
	if oldest := w.At(now.True) - Kept + 1; r.next < oldest {
		r.missing(oldest)
	}
	for w.Final(now.True, r.next) {
		sum := r.ledger.Sum(r.next, r.vms)
		// The cells of all VMs but the former holder are here: none is on its way to it.
		settled := now.Boot >= r.heldSince+settleTime || len(sum.Open) == 1 && sum.Open[0] == r.former
		late := !now.True.Before(w.sealBy(r.next)) && settled
		switch {
		case (len(sum.Open) > 0 || len(r.vms) == 0) && !late: // without VMs, their list is not known
			return nil
		case sum.Cells == 0:
			r.missing(r.next + 1)
			continue
		}
		return &Sealed{Window: r.next, Counts: sum.Counts}
	}
	return nil
}

// missing passes over the windows before next.
func (r *Reporter) missing(next int64) {
	if next > r.next {
		r.event(Event{Kind: Missing, Window: r.next, Until: next - 1})
		r.next = next
	}
}

func (r *Reporter) ackedThrough() int64 {
	acked := r.next - 1
	if !r.slotsRead {
		return r.acked
	}
	for w := range r.pending {
		acked = min(acked, w-1)
	}
	return max(acked, r.acked)
}

// Observed records the record that was read from the store in an era.
func (r *Reporter) Observed(now Now, era uint64, record Record) {
	held := r.lease.held
	r.lease.Observed(now.Boot, era, record)
	r.storeRetry = retry{}
	r.writing = nil
	if r.lease.held {
		r.gotLease(now, held)
		return
	}
	r.lostLease(held)
}

// gotLease starts from the stored record. Windows from its floor on are read from the
// store. Earlier ones are reported only by a VM that knows itself what it has sealed.
func (r *Reporter) gotLease(now Now, before bool) {
	if !before {
		r.heldSince = now.Boot
		r.event(Event{Kind: Acquired, Token: r.lease.Token()})
		if r.passed.Kind == Missing {
			r.event(r.passed)
			r.passed = Event{}
		}
	}
	if rec := r.lease.record; !before || rec.Next != r.next {
		r.next, r.acked, r.slotsRead = rec.Next, rec.Acked, false
		maps.DeleteFunc(r.pending, func(w int64, _ *report) bool { return w >= rec.Floor })
	}
}

func (r *Reporter) lostLease(before bool) {
	if before {
		r.event(Event{Kind: Lost, Token: r.lease.known})
	}
	r.slotsRead = false
}

// SealedRead records the windows that earlier reporters have sealed.
func (r *Reporter) SealedRead(stored []Sealed) {
	if !r.lease.held {
		return
	}
	r.storeRetry = retry{}
	r.slotsRead = true
	for _, s := range stored {
		if s.Window > r.acked && s.Window >= r.lease.record.Floor && s.Window < r.next && s.Window >= r.next-Kept {
			r.pending[s.Window] = &report{Sealed: s}
		}
	}
}

// StoreFailed records that a read failed, or that its result can't be used.
func (r *Reporter) StoreFailed(now Now) { r.storeRetry.failed(now.Boot) }

// Wrote records the result of a write, which the store made in an era.
func (r *Reporter) Wrote(now Now, revision, era uint64, o Outcome) {
	a := r.writing
	if a == nil {
		return
	}
	r.writing = nil
	held := r.lease.held
	o = r.lease.Wrote(revision, era, o)
	if o != Applied {
		r.writeFailed(now, o, held)
		return
	}
	r.storeRetry, r.refused = retry{}, 0
	if !held {
		r.gotLease(now, false)
		return
	}
	r.next = max(r.next, a.Record.Next)
	r.acked = a.Record.Acked
	if a.Sealed != nil {
		if len(r.pending) == 0 {
			r.answeredAt = now.Boot // nothing was owed before
		}
		r.pending[a.Sealed.Window] = &report{Sealed: *a.Sealed}
		sum := r.ledger.Sum(a.Sealed.Window, r.vms)
		r.event(Event{Kind: SealedWindow, Window: a.Sealed.Window, Cells: sum.Cells, Open: sum.Open, Total: total(a.Sealed.Counts)})
	}
}

func total(c Counts) (sum uint64) {
	for n := range maps.Values(c) {
		sum += n
	}
	return sum
}

// event records what happened, for the log.
func (r *Reporter) event(e Event) { r.events = append(r.events, e) }

// Events returns what happened since the last call.
func (r *Reporter) Events() []Event {
	out := r.events
	r.events = nil
	return out
}
