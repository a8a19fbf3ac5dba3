package usagereport

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/usage"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

const (
	// minInterval is the time between two exchanges of a candidate for the lease with the
	// holder, which it watches, and of any VM of a small fleet.
	minInterval = time.Second
	// exchangesPerSecond bounds the regular exchanges that the reporter answers, and
	// maxInterval the time between two of a VM. Counts that are lost with a VM are at most
	// those of this time: the larger the fleet, the smaller its share in them.
	exchangesPerSecond = 24
	maxInterval        = 4500 * time.Millisecond
	// quietInterval is the time between two exchanges without news.
	quietInterval = 5 * time.Second
	// finalSpread is the time over which the VMs send the counts of a window that has
	// closed.
	finalSpread     = 600 * time.Millisecond
	exchangeTimeout = time.Second
	// maxClockTrip is the longest exchange that tells another VM's clock well enough.
	maxClockTrip = 500 * time.Millisecond
	// reachedTime is how long ago the holder may have answered to be called reached.
	reachedTime = 3 * time.Second
)

// link is the exchange with another VM.
type link struct {
	busy  bool
	next  time.Duration // time of the next exchange
	sent  time.Duration // when the last one was begun
	heard time.Duration // when it last answered; 0: never
	acked uint64        // version of the ledger that it has
	inc   uint64        // incarnation that has it
}

// interval returns the time between two exchanges with a VM. s.mu is held.
func (s *Service) interval(now usage.Now, vm string) time.Duration {
	candidate := slices.Contains(s.ranked[:min(len(s.ranked), usage.Candidates)], s.self.VM)
	if candidate && vm == s.reporter.Holder(now).VM {
		return minInterval
	}
	return min(max(minInterval, time.Duration(len(s.ranked))*time.Second/exchangesPerSecond), maxInterval)
}

// exchange begins the exchanges that are due. closed states that a window of this VM has
// become final. s.mu is held.
func (s *Service) exchange(ctx context.Context, now usage.Now, closed bool) {
	targets := map[string]bool{}
	successor := s.reporter.Successor()
	for _, vm := range append(s.reporter.Targets(now), successor) {
		if vm == "" {
			continue
		}
		targets[vm] = true
		if s.links[vm] == nil {
			s.links[vm] = &link{next: now.Boot}
		}
	}
	for vm, l := range s.links {
		switch {
		case !targets[vm] && !l.busy && now.Boot-l.sent > 2*quietInterval:
			delete(s.links, vm)
		case !targets[vm] || l.busy:
		default:
			s.exchangeWith(ctx, now, vm, l, closed)
		}
	}
}

// exchangeWith begins an exchange with a VM if one is due. s.mu is held.
func (s *Service) exchangeWith(ctx context.Context, now usage.Now, vm string, l *link, closed bool) {
	if closed {
		l.next = min(l.next, now.Boot+time.Duration(rand.Float64()*float64(finalSpread)))
	}
	if s.reporter.HandsOver(vm) && s.handed != s.reporter.Released() {
		s.handed, l.next = s.reporter.Released(), now.Boot // at once
	}
	if now.Boot < l.next || s.addrs[vm] == "" {
		return
	}
	interval := s.interval(now, vm)
	cells, version := s.ledger.Since(l.acked)
	if len(cells) == 0 && !s.reporter.HandsOver(vm) && l.heard > 0 && now.Boot-l.sent < quietInterval && interval > minInterval {
		return
	}
	l.busy, l.sent, l.next = true, now.Boot, now.Boot+interval
	x := s.state(now)
	x.Handover = s.reporter.HandsOver(vm)
	x.Node, x.Forward = s.self.VM, !s.reaches(now, vm)
	if x.Reporter == vm {
		x.Reporter = ""
	}
	x.Cells = s.toProto(cells)
	addr := s.addrs[vm]
	s.wg.Go(func() { s.send(ctx, vm, addr, l, x, version) })
}

// reaches reports whether the holder is vm, or has the counts of this VM. s.mu is held.
func (s *Service) reaches(now usage.Now, vm string) bool {
	h := s.reporter.Holder(now).VM
	if h == vm || h == s.self.VM || h == "" {
		return true
	}
	l := s.links[h]
	return l != nil && l.heard > 0 && now.Boot-l.heard < reachedTime
}

// send makes an exchange and records its reply.
func (s *Service) send(ctx context.Context, vm, addr string, l *link, x *swpb.UsageExchange, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	env := &swpb.Envelope{Body: &swpb.Envelope_UsageExchange{UsageExchange: x}}
	begin := s.cfg.Boot()
	reply, err := s.call(ctx, addr, env)
	end := s.cfg.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.busy = false
	telemetry.Map("usage").Add("exchanges", 1)
	r := reply.GetUsageExchange()
	if err != nil || r == nil {
		telemetry.Map("usage").Add("exchanges_failed", 1)
		s.reporter.Unreached(vm)
		return
	}
	if l.inc != r.GetIncarnation() && l.inc != 0 {
		version = 0 // the process that had the counts has ended
	}
	l.inc, l.acked, l.heard = r.GetIncarnation(), version, end
	s.hear(vm, r, begin+(end-begin)/2, end-begin)
}

// Handle answers the exchange of another VM.
func (s *Service) Handle(x *swpb.UsageExchange) *swpb.UsageExchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.hear(x.GetNode(), x, now.Boot, 0)
	current := s.cfg.Windows.At(now.True)
	for _, w := range x.GetCells() {
		s.ledger.Merge(current, toCell(x, w), x.GetForward() && w.GetNode() == "")
	}
	reply := s.state(now)
	reply.Handover = s.reporter.HandsOver(x.GetNode())
	reply.TrueUs, reply.Clocks = now.True.UnixMicro(), uint32(s.clocks)
	return reply
}

// hear records what another VM, vm, knows of the time and of the holder. boot is when its
// clocks were read, trip how long the exchange took. s.mu is held.
func (s *Service) hear(vm string, x *swpb.UsageExchange, boot, trip time.Duration) {
	if trip <= maxClockTrip {
		s.clock.Observe(boot, vm, time.UnixMicro(x.GetWallUs()), time.UnixMicro(x.GetTrueUs()), int(x.GetClocks()))
	}
	holder := x.GetReporter()
	if x.GetHolds() {
		holder = vm
	}
	if x.GetHandover() {
		s.reporter.HearHandover(s.now(), x.GetToken())
		defer s.wakeUp()
	}
	s.reporter.Hear(s.now(), usage.Holder{
		VM: holder, Token: x.GetToken(), Age: time.Duration(x.GetAgeMs()) * time.Millisecond, Next: x.GetNextWindow(),
	})
}

// state returns what this VM knows of the holder, and its clock. s.mu is held.
func (s *Service) state(now usage.Now) *swpb.UsageExchange {
	h := s.reporter.Holder(now)
	holds := h.VM == s.self.VM
	if holds {
		h.VM = ""
	}
	return &swpb.UsageExchange{
		Incarnation: s.self.Incarnation, WallUs: s.cfg.Wall().UnixMicro(), Holds: holds, Reporter: h.VM, Token: h.Token, AgeMs: uint64(h.Age.Milliseconds()), NextWindow: h.Next,
	}
}

func (s *Service) toProto(cells []usage.Cell) []*swpb.UsageCell {
	out := make([]*swpb.UsageCell, 0, len(cells))
	for _, c := range cells {
		w := &swpb.UsageCell{Window: c.Window, Final: c.Final}
		if c.ID != s.self {
			w.Node, w.Incarnation = c.ID.VM, c.ID.Incarnation
		}
		for team, n := range c.Counts {
			w.Counts = append(w.Counts, &swpb.UsageCount{Team: team, Requests: n})
		}
		out = append(out, w)
	}
	return out
}

func toCell(x *swpb.UsageExchange, w *swpb.UsageCell) usage.Cell {
	c := usage.Cell{ID: usage.CellID{VM: w.GetNode(), Incarnation: w.GetIncarnation()}, Window: w.GetWindow(), Final: w.GetFinal(), Counts: usage.Counts{}}
	if w.GetNode() == "" {
		c.ID = usage.CellID{VM: x.GetNode(), Incarnation: x.GetIncarnation()}
	}
	for _, n := range w.GetCounts() {
		c.Counts[n.GetTeam()] = n.GetRequests()
	}
	return c
}
