package fleetrollout

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// writeTimeout bounds a write of a record. A write whose reply is late may be made
// still; the next one then conflicts with it.
const writeTimeout = 2 * time.Second

// standInDelay is how long the judge that does not lead waits with the record of a
// final phase.
const standInDelay = 2 * time.Second

// Store is the part of the platform's store that the service writes to.
type Store interface {
	// PutRollout writes the record of an order and the status that the operator reads,
	// if the record is at a revision (0: there is none).
	PutRollout(ctx context.Context, key string, expect uint64, value []byte, o rollout.Order, p rollout.Phase) (revision uint64, err error)
	// Get returns an entry, or platform.ErrNotFound.
	Get(ctx context.Context, key string) (platform.Entry, error)
	// Era returns the highest era of the store that this VM knows.
	Era() uint64
}

// record is the stored state of an order.
type record struct {
	revision uint64 // of the entry; 0: there is none
	order    rollout.Order
	phase    rollout.Phase
	age      time.Duration // of the order when it was written
	reason   string
}

// isOf reports whether the record is of an order, which may have been written again
// since the store came back from an older copy.
func (r *record) isOf(o rollout.Order) bool {
	return r.revision != 0 && (o.Repeats(r.order) || r.order.Repeats(o))
}

// recordJSON is the stored form of a record.
type recordJSON struct {
	Order      uint64 `json:"order"` // revision
	Version    string `json:"version"`
	DurationMS int64  `json:"duration_ms"`
	Phase      string `json:"phase"`
	AgeMS      int64  `json:"age_ms"`
	Reason     string `json:"reason,omitempty"`
}

func (r *record) encode() ([]byte, error) {
	return json.Marshal(recordJSON{
		Order: r.order.Revision, Version: r.order.Version, DurationMS: r.order.Duration.Milliseconds(),
		Phase: r.phase.String(), AgeMS: r.age.Milliseconds(), Reason: r.reason,
	})
}

// decodeRecord decodes the entry of a pool's record.
func decodeRecord(pool string, e platform.Entry) (record, error) {
	var w recordJSON
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return record{}, eris.Wrapf(err, "entry %s", e.Key)
	}
	phase, ok := rollout.ParsePhase(w.Phase)
	if !ok {
		return record{}, eris.Errorf("entry %s: unknown phase %q", e.Key, w.Phase)
	}
	return record{
		revision: e.Revision, phase: phase, age: time.Duration(w.AgeMS) * time.Millisecond, reason: w.Reason,
		order: rollout.Order{Pool: pool, Version: w.Version, Duration: time.Duration(w.DurationMS) * time.Millisecond, Revision: w.Order},
	}, nil
}

// recordHandler applies the records in the store.
type recordHandler struct{ s *Service }

// Replace implements storewatch.Handler.
func (h recordHandler) Replace(entries []platform.Entry, _ uint64) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.records = map[string]record{}
	for _, t := range h.s.tasks {
		t.record = record{}
	}
	h.apply(entries)
}

// Apply implements storewatch.Handler.
func (h recordHandler) Apply(changes []platform.Entry) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.apply(changes)
}

// apply applies entries. s.mu is held.
func (h recordHandler) apply(entries []platform.Entry) {
	now := time.Now()
	for _, e := range entries {
		pool := strings.TrimPrefix(e.Key, h.s.cfg.Prefix)
		if e.Deleted {
			delete(h.s.records, pool)
			continue
		}
		r, err := decodeRecord(pool, e)
		if err != nil {
			h.s.cfg.Log.Warn().Err(err).Msg("record of a rollout invalid; ignored")
			continue
		}
		h.s.keep(now, pool, r)
	}
}

// keep keeps a record that was read or written, and applies it to the pool's order.
// s.mu is held.
func (s *Service) keep(now time.Time, pool string, r record) {
	s.records[pool] = r
	for _, t := range s.tasks {
		if t.order.Pool == pool {
			s.applyRecord(now, t, r)
		}
	}
}

// applyRecord applies the record of a pool to its order. s.mu is held.
func (s *Service) applyRecord(now time.Time, t *task, r record) {
	if r.revision < t.record.revision {
		return
	}
	t.record = r
	if !r.isOf(t.order) {
		return
	}
	if t.judge != nil {
		t.judge.Recorded(now, r.phase, r.reason)
		t.judge.SetAge(now, r.age)
	}
	if r.phase >= rollout.Commit {
		s.tier.ApplyGuidance(now, t.order, rollout.Guidance{Phase: r.phase, Age: r.age, Reason: r.reason}, true)
	}
}

// Unavailable implements storewatch.Handler. The feed of tables and upstreams logs
// outages of the store.
func (h recordHandler) Unavailable(error) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.unavailable = true
}

// Available implements storewatch.Handler.
func (h recordHandler) Available() {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.unavailable = false
}

// due returns the phase that the record should have; ok is false if it has it. s.mu
// is held.
func (s *Service) due(now time.Time, t *task, leads bool) (p rollout.Phase, ok bool) {
	p = t.judge.Phase()
	if wanted := t.judge.Wanted(); wanted != rollout.NoPhase {
		p = wanted
	}
	if p == rollout.Probe || p == rollout.Takeover {
		p = rollout.Trial // the others are not recorded: they may end without the store
	}
	lost := era.Of(t.record.revision) != s.store.Era()
	if t.record.isOf(t.order) && !lost && (t.record.phase == p || t.record.phase.Final() && p != rollout.RolledBack || t.record.phase == rollout.Completed) {
		t.heldAt = time.Time{}
		return p, false
	}
	if leads {
		return p, true
	}
	if !p.Final() {
		return p, false
	}
	if t.heldAt.IsZero() {
		t.heldAt = now
	}
	return p, now.Sub(t.heldAt) >= standInDelay
}

// sync writes the record of an order in the background if it is due. s.mu is held.
func (s *Service) sync(ctx context.Context, now time.Time, t *task, leads bool) {
	p, due := s.due(now, t, leads)
	if !due || t.writing || t.pacer.Next(now).After(now) {
		return
	}
	t.writing = true
	t.pacer.Called(now)
	g := t.judge.Guidance(now)
	next := record{order: t.order, phase: p, age: g.Age, reason: g.Reason}
	expect := t.record.revision
	if era.Of(expect) != s.store.Era() {
		expect = 0
	}
	s.wg.Go(func() { s.write(ctx, t, next, expect) })
}

// write writes a record. After a conflict or a lost reply it reads what is there.
func (s *Service) write(ctx context.Context, t *task, next record, expect uint64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := s.cfg.Prefix + t.order.Pool
	value, err := next.encode()
	if err == nil {
		next.revision, err = s.store.PutRollout(ctx, key, expect, value, t.order, next.phase)
	}
	read := next
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) {
		read, err = s.read(ctx, t.order.Pool, key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.writing = false
	t.pacer.Done(now, err == nil)
	if err != nil {
		s.writeFailedAt = now
		s.cfg.Log.Warn().Err(err).Str("kind", "rollout").Str("pool", t.order.Pool).Stringer("phase", next.phase).Msg("phase of a rollout not recorded yet")
		return
	}
	s.cfg.Log.Info().Str("kind", "rollout").Str("pool", t.order.Pool).Str("version", read.order.Version).Stringer("phase", read.phase).
		Uint64("store_revision", read.revision).Bool("written", read.revision == next.revision).Msg("record of a rollout")
	if read.revision != next.revision {
		t.record = record{} // what is read replaces what was known
		delete(s.records, t.order.Pool)
	}
	if read.revision == 0 {
		return
	}
	s.keep(now, t.order.Pool, read)
}

// read reads the record of a pool. Its revision is 0 if there is none.
func (s *Service) read(ctx context.Context, pool, key string) (record, error) {
	e, err := s.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return record{}, nil
	}
	if err != nil {
		return record{}, err
	}
	return decodeRecord(pool, e)
}
