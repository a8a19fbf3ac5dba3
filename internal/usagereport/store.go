package usagereport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sapphirewall/sapphirewall/internal/decide/era"
	"github.com/sapphirewall/sapphirewall/internal/decide/usage"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// storedRecord is the lease in the store.
type storedRecord struct {
	Holder  string `json:"holder"`
	Session uint64 `json:"session"`
	Write   uint64 `json:"write"`
	Token   uint64 `json:"token"`
	Era     uint64 `json:"era"`
	Next    int64  `json:"next"`
	Acked   int64  `json:"acked"`
	Floor   int64  `json:"floor"`
}

// storedWindow is a sealed window in the store.
type storedWindow struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

func (s *Service) leaseKey() string     { return s.cfg.Prefix + "lease" }
func (s *Service) sealedPrefix() string { return s.cfg.Prefix + "sealed/" }

// slotKey returns the key of a sealed window. Windows take turns in a fixed number of keys,
// so that none has to be deleted.
func (s *Service) slotKey(window int64) string {
	return fmt.Sprintf("%s%02d", s.sealedPrefix(), uint64(window)%usage.Kept)
}

// useStore makes a call to the store and records its result.
func (s *Service) useStore(ctx context.Context, a usage.StoreAction) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	telemetry.Map("usage").Add("store_calls", 1)
	var done func(now usage.Now)
	switch a.Kind {
	case usage.Observe:
		done = s.observe(callCtx)
	case usage.ReadSealed:
		done = s.readSealed(callCtx)
	default:
		done = s.write(callCtx, a)
	}
	s.mu.Lock()
	s.reading = false
	done(s.now())
	s.mu.Unlock()
	s.wakeUp()
}

func (s *Service) observe(ctx context.Context) func(usage.Now) {
	e, err := s.store.Get(ctx, s.leaseKey())
	missing := errors.Is(err, platform.ErrNotFound)
	var r storedRecord
	if err == nil {
		err = json.Unmarshal(e.Value, &r)
	}
	if err != nil && !missing {
		s.log.Warn("usage").Err(err).Msg("lease of the usage reporter can't be read")
		return s.reporter.StoreFailed
	}
	record, storeEra := usage.Record{}, s.store.Era()
	if !missing {
		storeEra = era.Of(e.Revision)
		record = usage.Record{
			Holder: r.Holder, Session: r.Session, Write: r.Write, Token: r.Token, Era: r.Era, Next: r.Next, Acked: r.Acked, Floor: r.Floor, Revision: e.Revision,
		}
	}
	return func(now usage.Now) { s.reporter.Observed(now, storeEra, record) }
}

func (s *Service) readSealed(ctx context.Context) func(usage.Now) {
	c, err := s.store.Snapshot(ctx, s.sealedPrefix())
	if err != nil {
		s.log.Warn("usage").Err(err).Msg("sealed windows can't be read")
		return s.reporter.StoreFailed
	}
	var sealed []usage.Sealed
	for _, e := range c.Entries {
		var w storedWindow
		if err := json.Unmarshal(e.Value, &w); err != nil {
			s.log.Warn("usage").Err(err).Str("key", e.Key).Msg("sealed window can't be decoded")
			continue
		}
		sealed = append(sealed, usage.Sealed{Window: w.Window, Counts: w.Counts})
	}
	return func(usage.Now) { s.reporter.SealedRead(sealed) }
}

// write replaces the record of the lease, with a sealed window if there is one.
func (s *Service) write(ctx context.Context, a usage.StoreAction) func(usage.Now) {
	r := a.Record
	value, err := json.Marshal(storedRecord{
		Holder: r.Holder, Session: r.Session, Write: r.Write, Token: r.Token, Era: r.Era, Next: r.Next, Acked: r.Acked, Floor: r.Floor,
	})
	var revision uint64
	switch {
	case err != nil:
	case a.Sealed == nil:
		var e platform.Entry
		e, err = s.store.CompareAndSwap(ctx, s.leaseKey(), r.Revision, value, 0)
		revision = e.Revision
	default:
		var slot []byte
		if slot, err = json.Marshal(storedWindow{Window: a.Sealed.Window, Counts: a.Sealed.Counts}); err == nil {
			revision, err = s.store.CompareAndSwapWith(ctx, s.leaseKey(), r.Revision, value, s.slotKey(a.Sealed.Window), slot)
		}
	}
	if err != nil {
		s.log.Warn("usage").Err(err).Uint64("token", r.Token).Msg("lease of the usage reporter not written")
	}
	return func(now usage.Now) { s.reporter.Wrote(now, revision, era.Of(revision), outcomeOf(err)) }
}

// outcomeOf returns what is known of a write.
func outcomeOf(err error) usage.Outcome {
	switch {
	case err == nil:
		return usage.Applied
	case errors.Is(err, platform.ErrConflict):
		return usage.Conflict
	case errors.Is(err, platform.ErrUnavailable):
		return usage.NotApplied
	}
	return usage.Unknown
}
