package egress

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// maxLost bounds the requests of one replica that wait to be told whether the
// replica crashed beneath them.
const maxLost = 1024

// lostRun is a run whose connection was lost.
type lostRun struct {
	fingerprint uint64
	startID     string // of the upstream when the run was sent
}

// suspects is the process's evidence about requests that crash upstreams.
type suspects struct {
	mu      sync.Mutex // guards tracker
	tracker *poison.Tracker
}

func newSuspects() *suspects { return &suspects{tracker: poison.NewTracker()} }

// refuse returns the verdict on a request that must not be sent, or nil.
func (p *suspects) refuse(fp uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	again, yes := p.tracker.Refuse(time.Now(), fp)
	if !yes {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Poison, "replicas crashed while they ran this request").After(again)
}

func (p *suspects) crashed(fps []uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.RecordCrash(time.Now(), fps)
}

func (p *suspects) finished(fp uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.RecordAnswer(fp)
}

// proto is what peers are told.
func (p *suspects) proto() []*swpb.PoisonSuspect {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*swpb.PoisonSuspect
	for _, s := range p.tracker.Suspects(now) {
		m := &swpb.PoisonSuspect{Fingerprint: s.Fingerprint}
		for _, at := range s.Crashes {
			m.CrashAgesUs = append(m.CrashAgesUs, uint64(now.Sub(at)/time.Microsecond))
		}
		out = append(out, m)
	}
	return out
}

// takeEnd learns from the end of a run. A lost connection alone is no crash:
// the next look at the upstream's status, which is asked for at once, decides.
func (r *replica) takeEnd(fp uint64, startID string, v *verdict.Error) {
	switch {
	case fp == 0:
	case v == nil || v.Outcome == verdict.RanFailed:
		if r.s.suspects.finished(fp) {
			r.s.fleet.wake()
		}
	case v.Cause == verdict.ConnectionLost && v.Outcome == verdict.MayHaveRun:
		r.mu.Lock()
		if len(r.lost) < maxLost {
			r.lost = append(r.lost, lostRun{fp, startID})
		}
		r.mu.Unlock()
		select {
		case r.kick <- struct{}{}:
		default:
		}
	}
}

// takeLost returns the runs whose connections were lost since the last look,
// and forgets them.
func (r *replica) takeLost() []lostRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.lost
	r.lost = nil
	return lost
}

// crashedBeneath returns the fingerprints of those lost runs beneath which the
// upstream crashed: it can't be asked, or has started since.
func crashedBeneath(lost []lostRun, startID string, unreachable bool) []uint64 {
	var out []uint64
	for _, l := range lost {
		if unreachable || l.startID != "" && l.startID != startID {
			out = append(out, l.fingerprint)
		}
	}
	return out
}
