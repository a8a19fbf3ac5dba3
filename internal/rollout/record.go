package rollout

import (
	"context"
	"errors"
	"time"

	decide "github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/rolloutstore"
)

// holderKey holds the lease under which outcomes are recorded; its revision is
// the fence.
const holderKey = "rollout-holder"

// leaseTime is the life of the lease. It is not renewed: it covers one round.
const leaseTime = 10 * time.Second

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

// errHeld means that another node holds the lease.
var errHeld = errors.New("rollout: another node holds the lease")

// acquire takes the lease and returns its fence and how to give it back.
func (r *recorder) acquire(ctx context.Context) (fence uint64, release func(), err error) {
	lease, err := r.kv.Grant(ctx, leaseTime)
	if err != nil {
		return 0, nil, err
	}
	e, err := r.kv.CompareAndSwap(ctx, r.prefix+holderKey, 0, []byte(r.node), lease)
	if err != nil {
		_ = r.kv.Revoke(ctx, lease)
		if errors.Is(err, platform.ErrConflict) {
			err = errHeld
		}
		return 0, nil, err
	}
	return e.Revision, func() { _ = r.kv.Revoke(ctx, lease) }, nil
}

// write records one outcome under a fence. A record that is already as far is
// no error. A write whose reply is lost is found out about by reading again:
// the record can't be written twice, since each write expects what it read.
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

// recordOutcomes brings the platform's records and this node's knowledge
// together, for the rollouts of which this node is the first judge.
func (s *Service) recordOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	due := s.dueRecords()
	if len(due) == 0 {
		return
	}
	fence, release, err := s.record.acquire(ctx)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Msg("no lease to record rollouts")
		return
	}
	defer release()
	for _, next := range due {
		written, err := s.record.write(ctx, next, fence)
		if err != nil {
			s.cfg.Log.Warn().Err(err).Str("pool", next.Pool).Msg("outcome of a rollout not recorded yet")
			continue
		}
		s.recorded(written)
	}
}

// dueRecords returns the records that this node should write or read.
func (s *Service) dueRecords() []rolloutstore.Record {
	now := s.cfg.Now()
	members := s.control.Members()
	revision := s.revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []rolloutstore.Record
	for k, r := range s.rollouts {
		if judgeRank(k, s.cfg.Node, members) != 0 || r.stored && r.phase == r.wanted() && r.recordedStage == r.progress.Stage {
			continue
		}
		out = append(out, rolloutstore.Record{
			Pool: k.pool, Version: k.version, Start: time.Unix(k.start, 0).UTC(), Phase: r.wanted(),
			Stage: r.progress.Stage, Reason: r.reason, At: now.UTC(), Revision: revision,
		})
	}
	return out
}

// recorded takes what the platform holds now.
func (s *Service) recorded(rec rolloutstore.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[id{rec.Pool, rec.Version, rec.Start.Unix()}]
	if r == nil {
		return
	}
	r.stored = true
	r.phase = rec.Phase
	r.recordedStage = rec.Stage
	r.learn(decide.Progress{Stage: min(rec.Stage, decide.LastStage), Vetoed: rec.Phase == rolloutstore.RolledBack})
	if r.reason == "" {
		r.reason, r.by = rec.Reason, rec.By
	}
}
