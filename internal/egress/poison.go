package egress

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// maxLostAttempts limits the attempts of one replica for which it is not known
// yet whether the upstream crashed while executing them.
const maxLostAttempts = 1024

// lostAttempt is an attempt whose connection was lost.
type lostAttempt struct {
	fingerprint uint64
	startID     string // of the upstream when the attempt was sent
}

// suspects tracks the requests that are suspected of crashing upstreams.
type suspects struct {
	mu      sync.Mutex // guards tracker
	tracker *poison.Tracker
}

func newSuspects() *suspects { return &suspects{tracker: poison.NewTracker()} }

// refuse returns an error for a request that must not be sent, or nil.
func (s *suspects) refuse(fp uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryIn, refused := s.tracker.Refuse(time.Now(), fp)
	if !refused {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Poison, "replicas crashed while they ran this request").WithRetryAfter(retryIn)
}

func (s *suspects) recordCrash(fps []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RecordCrash(time.Now(), fps)
}

func (s *suspects) recordAnswer(fp uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RecordAnswer(fp)
}

// proto returns the suspects as they are sent to peers.
func (s *suspects) proto() []*swpb.PoisonSuspect {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*swpb.PoisonSuspect
	for _, suspect := range s.tracker.Suspects(now) {
		m := &swpb.PoisonSuspect{Fingerprint: suspect.Fingerprint}
		for _, at := range suspect.Crashes {
			m.CrashAgesUs = append(m.CrashAgesUs, uint64(now.Sub(at)/time.Microsecond))
		}
		out = append(out, m)
	}
	return out
}

// recordEvidence records what the end of an attempt shows about its request. Only
// a success shows that the request is harmless: an upstream may fail for other
// reasons before it executes it. A lost connection alone is not counted as a crash:
// the next poll of the upstream's status, which is triggered at once, decides.
func (r *replica) recordEvidence(fp uint64, startID string, v *verdict.Error) {
	switch {
	case fp == 0:
	case v == nil:
		if r.s.suspects.recordAnswer(fp) {
			r.s.replicas.publish()
		}
	case v.Cause == verdict.ConnectionLost && v.Outcome == verdict.MayHaveRun:
		r.mu.Lock()
		if len(r.lostAttempts) < maxLostAttempts {
			r.lostAttempts = append(r.lostAttempts, lostAttempt{fp, startID})
		}
		r.mu.Unlock()
		select {
		case r.pollNow <- struct{}{}:
		default:
		}
	}
}

// popLostAttempts returns the attempts whose connections were lost since the
// last status poll, and clears them.
func (r *replica) popLostAttempts() []lostAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.lostAttempts
	r.lostAttempts = nil
	return lost
}

// crashedFingerprints returns the fingerprints of the lost attempts during
// which the upstream crashed: it is unreachable or has restarted since they
// were sent.
func crashedFingerprints(lost []lostAttempt, startID string, unreachable bool) []uint64 {
	var out []uint64
	for _, a := range lost {
		if unreachable || a.startID != "" && a.startID != startID {
			out = append(out, a.fingerprint)
		}
	}
	return out
}
