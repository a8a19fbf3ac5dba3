package rollout

import (
	"context"
	"errors"
	"time"

	decide "github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/rolloutstore"
)

// leaseKey is the key that the holder of the lease for recording outcomes owns.
// Its revision is the fence.
const leaseKey = "rollout-holder"

// leaseTTL covers one round of recording; the lease is not renewed.
const leaseTTL = 10 * time.Second

// recorder writes outcomes to the platform.
type recorder struct {
	kv     platform.KV
	prefix string
	node   string
	store  rolloutstore.Store
}

func newRecorder(kv platform.KV, prefix, node string) *recorder {
	return &recorder{kv: kv, prefix: prefix, node: node, store: rolloutstore.Store{KV: kv, Prefix: prefix}}
}

// errLeaseHeld means that another node holds the lease.
var errLeaseHeld = errors.New("rollout: another node holds the lease")

// acquire obtains the lease and returns its fence and a function that releases
// it.
func (r *recorder) acquire(ctx context.Context) (fence uint64, release func(), err error) {
	lease, err := r.kv.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, nil, err
	}
	e, err := r.kv.CompareAndSwap(ctx, r.prefix+leaseKey, 0, []byte(r.node), lease)
	if err != nil {
		_ = r.kv.Revoke(ctx, lease)
		if errors.Is(err, platform.ErrConflict) {
			err = errLeaseHeld
		}
		return 0, nil, err
	}
	return e.Revision, func() { _ = r.kv.Revoke(ctx, lease) }, nil
}

// write records one outcome under a fence. It is not an error if the stored
// record has already reached that phase and stage. After a write whose reply was
// lost, the next call reads the record again; an outcome can't be written twice,
// because each write expects the revision that was read.
func (r *recorder) write(ctx context.Context, next rolloutstore.Record, fence uint64) (rolloutstore.Record, error) {
	next.Fence, next.By = fence, r.node
	seen, err := r.store.Get(ctx, next.Pool, next.Version, next.Start)
	if err != nil || !seen.Precedes(next) {
		return seen, err
	}
	if seen, err = r.store.SetFence(ctx, seen, next); err != nil {
		return rolloutstore.Record{}, err
	}
	if !seen.Precedes(next) {
		return seen, nil
	}
	return r.store.Put(ctx, seen, next)
}

// recordOutcomes synchronizes the platform's records and this node's progress
// for the rollouts of which this node is the first judge.
func (s *Service) recordOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	pending := s.pendingRecords()
	if len(pending) == 0 {
		return
	}
	fence, release, err := s.record.acquire(ctx)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Msg("lease for recording rollout outcomes not acquired")
		return
	}
	defer release()
	for _, next := range pending {
		written, err := s.record.write(ctx, next, fence)
		if err != nil {
			s.cfg.Log.Warn().Err(err).Str("pool", next.Pool).Msg("outcome of a rollout not recorded yet")
			continue
		}
		s.applyRecord(written)
	}
}

// pendingRecords returns the records of rollouts that this node records and
// whose stored record is unknown or out of date.
func (s *Service) pendingRecords() []rolloutstore.Record {
	now := s.cfg.Now()
	members := s.control.Members()
	revision := s.revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []rolloutstore.Record
	for id, r := range s.rollouts {
		if judgeRank(id, s.cfg.Node, members) != 0 || r.recordKnown && r.phase == r.targetPhase() && r.recordedStage == r.progress.Stage {
			continue
		}
		out = append(out, rolloutstore.Record{
			Pool: id.pool, Version: id.version, Start: time.Unix(id.start, 0).UTC(), Phase: r.targetPhase(),
			Stage: r.progress.Stage, Reason: r.reason, At: now.UTC(), Revision: revision,
		})
	}
	return out
}

// applyRecord merges a stored record into the progress of its rollout.
func (s *Service) applyRecord(rec rolloutstore.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[rolloutID{rec.Pool, rec.Version, rec.Start.Unix()}]
	if r == nil {
		return
	}
	r.recordKnown = true
	r.phase = rec.Phase
	r.recordedStage = rec.Stage
	r.mergeProgress(decide.Progress{Stage: min(rec.Stage, decide.LastStage), Vetoed: rec.Phase == rolloutstore.RolledBack})
	if r.reason == "" {
		r.reason, r.vetoedBy = rec.Reason, rec.By
	}
}
