package suspects

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
)

// ServiceName is the kernel name of the service.
const ServiceName = "suspects"

const (
	// leaseReuse is how long a lease is used for further entries.
	leaseReuse = time.Minute
	// entryTTL outlasts the suspicion on every VM, so that an entry that is missing
	// while a VM still suspects the request was lost by the store.
	entryTTL = poison.SuspicionTTL + leaseReuse
)

// writePace limits the calls of a VM. Requests that crash upstreams are rare; in a
// failure of many upstreams the store's rate must be left to others.
var writePace = backoff.Config{Min: 100 * time.Millisecond, Max: 2 * time.Second, Rate: 4, Burst: 8}

// Store is the part of the platform's store that the service writes to.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (platform.Entry, error)
	Delete(ctx context.Context, key string, expect uint64) error
	// Era returns the highest era of the store that this VM knows.
	Era() uint64
}

// FollowFunc watches a prefix of the store until ctx ends.
type FollowFunc func(ctx context.Context, prefix string, h storewatch.Handler)

// Service shares the suspicions of a board with the other VMs.
type Service struct {
	board  *Board
	store  Store
	follow FollowFunc
	prefix string // of the entries' keys
	log    zerolog.Logger
	pacer  *backoff.Pacer

	lease     platform.LeaseID // 0: none
	era       uint64           // of the store in which lease was granted
	grantedAt time.Time
	failing   bool // the last call failed

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// NewService returns the service for a board. Its entries have keys that begin with
// prefix.
func NewService(board *Board, store Store, follow FollowFunc, prefix string, log zerolog.Logger) *Service {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Service{board: board, store: store, follow: follow, prefix: prefix, log: log, pacer: backoff.New(writePace, rng)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Ready implements kernel.Service: a VM can serve without the other VMs'
// suspicions.
func (s *Service) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.stop = context.WithCancel(ctx)
	s.wg.Go(func() { s.follow(ctx, s.prefix, entryHandler{s}) })
	s.wg.Go(func() { s.share(ctx) })
	return nil
}

// Stop implements kernel.Service. The entries are left to expire.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.wg.Wait()
	return nil
}

// share writes the pending changes, one at a time, until ctx ends.
func (s *Service) share(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.board.wake:
		}
		for w, ok := s.board.next(time.Now()); ok && s.pause(ctx); w, ok = s.board.next(time.Now()) {
			s.write(ctx, w)
		}
	}
}

// pause waits until the next call may be made. It returns false if ctx ends before.
func (s *Service) pause(ctx context.Context) bool {
	now := time.Now()
	timer := time.NewTimer(s.pacer.Next(now).Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// write makes one change. One that fails is pending still: it can't be applied twice,
// and the watch brings the write of another VM with which it conflicts.
func (s *Service) write(ctx context.Context, w poison.Write) {
	s.pacer.Called(time.Now())
	err := s.apply(ctx, w)
	s.pacer.Done(time.Now(), err == nil)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		s.lease = 0
	}
	if ctx.Err() == nil && !errors.Is(err, platform.ErrConflict) {
		s.report(err)
	}
}

// report logs the first failure after writes that succeeded, and the recovery.
func (s *Service) report(err error) {
	switch {
	case err != nil && !s.failing:
		s.log.Warn().Str("kind", "suspect").Err(err).Msg("suspicions can't be shared; this VM counts by itself until they can")
	case err == nil && s.failing:
		s.log.Info().Str("kind", "suspect").Msg("suspicions are shared again")
	}
	s.failing = err != nil
}

func (s *Service) apply(ctx context.Context, w poison.Write) error {
	key := s.prefix + strconv.FormatUint(w.Fingerprint, 16)
	if w.Crashes == 0 {
		err := s.store.Delete(ctx, key, w.Expect)
		if err == nil {
			s.board.remove(w.Fingerprint, w.Expect+1) // later than the record deleted
			s.log.Info().Str("kind", "suspect").Uint64("fingerprint", w.Fingerprint).Msg("shared suspicion deleted")
		}
		return err
	}
	// A lease of an earlier era is lost, and another VM may have been given its ID.
	if s.lease == 0 || s.era != s.store.Era() || time.Since(s.grantedAt) > leaseReuse {
		granted, before := time.Now(), s.store.Era()
		lease, err := s.store.Grant(ctx, entryTTL)
		if err != nil {
			return err
		}
		s.lease, s.era, s.grantedAt = lease, before, granted
	}
	e, err := s.store.CompareAndSwap(ctx, key, w.Expect, strconv.AppendInt(nil, int64(w.Crashes), 10), s.lease)
	if err != nil {
		return err
	}
	s.board.merge(time.Now(), w.Fingerprint, poison.Record{Crashes: w.Crashes, Revision: e.Revision})
	s.log.Info().Str("kind", "suspect").Uint64("fingerprint", w.Fingerprint).Int("crashes", w.Crashes).Uint64("store_revision", e.Revision).Msg("suspicion shared with other VMs")
	return nil
}

// entryHandler applies the store's entries to the board.
type entryHandler struct{ s *Service }

// Replace implements storewatch.Handler.
func (h entryHandler) Replace(entries []platform.Entry, _ uint64) {
	records := make(map[uint64]poison.Record, len(entries))
	for _, e := range entries {
		if fp, r, ok := h.decode(e); ok {
			records[fp] = r
		}
	}
	h.s.board.replace(time.Now(), records)
}

// Apply implements storewatch.Handler.
func (h entryHandler) Apply(changes []platform.Entry) {
	for _, e := range changes {
		fp, r, ok := h.decode(e)
		switch {
		case !ok:
		case e.Deleted:
			h.s.board.remove(fp, e.Revision)
		case h.s.board.merge(time.Now(), fp, r):
			h.s.log.Info().Str("kind", "suspect").Uint64("fingerprint", fp).Int("crashes", r.Crashes).Uint64("store_revision", e.Revision).
				Msg("request refused from now on; other VMs have seen it crash upstreams")
		}
	}
}

// decode returns the record of an entry. The record of a deleted entry has no
// crashes.
func (h entryHandler) decode(e platform.Entry) (fp uint64, r poison.Record, ok bool) {
	fp, err := strconv.ParseUint(strings.TrimPrefix(e.Key, h.s.prefix), 16, 64)
	crashes := 0
	if err == nil && !e.Deleted {
		crashes, err = strconv.Atoi(string(e.Value))
	}
	if err != nil || crashes < 0 {
		h.s.log.Warn().Err(eris.Wrapf(err, "entry %s = %.20q", e.Key, e.Value)).Msg("shared suspicion invalid; ignored")
		return 0, poison.Record{}, false
	}
	return fp, poison.Record{Crashes: crashes, Revision: e.Revision}, true
}

// Unavailable implements storewatch.Handler. The feed of tables and upstreams logs
// outages of the store.
func (h entryHandler) Unavailable(error) {}

// Available implements storewatch.Handler.
func (h entryHandler) Available() {}
