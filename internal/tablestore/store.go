package tablestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// The pauses between two tries of a call, with jitter.
const (
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// Store reads and commits the tables of one fleet. It holds no state and is
// safe for concurrent use.
type Store struct {
	KV     platform.KV
	Prefix string
	// Floor is a revision that a commit must exceed: the highest in force on
	// any node. It is above the head only after the platform lost writes, and
	// nodes never go back.
	Floor uint64
	// Pause waits before the next try of a call; nil waits with exponential
	// backoff and jitter.
	Pause func(ctx context.Context, try int) error
}

// Load returns the tables in the service; a zero Head when there are none.
func Load(ctx context.Context, kv platform.KV, prefix string) (Head, []byte, error) {
	return Store{KV: kv, Prefix: prefix}.Load(ctx)
}

// Commit makes text the revision after base. It returns the head of the edit
// once that is known to be accepted. See the errors of the package.
func Commit(ctx context.Context, kv platform.KV, prefix string, base uint64, text []byte, editID string) (Head, error) {
	return Store{KV: kv, Prefix: prefix}.Commit(ctx, base, text, editID)
}

// Watch waits up to wait for tables of a higher revision than have and returns
// them, or have and no text when there are none. It never returns a lower one.
func Watch(ctx context.Context, kv platform.KV, prefix string, have Head, wait time.Duration) (Head, []byte, error) {
	return Store{KV: kv, Prefix: prefix}.Watch(ctx, have, wait)
}

// loadTries bounds how often a head is read again because its pieces are gone.
const loadTries = 3

// Load returns the tables in the service; a zero Head when there are none.
func (s Store) Load(ctx context.Context) (Head, []byte, error) {
	var err error
	for range loadTries {
		var h Head
		if h, err = s.head(ctx); err != nil || h.Revision == 0 {
			return Head{}, nil, err
		}
		var text []byte
		if text, err = s.Text(ctx, h, h.Revision); err == nil {
			return h, text, nil
		}
		if !errors.Is(err, platform.ErrNotFound) {
			break
		}
	}
	return Head{}, nil, err
}

// Watch implements the function Watch.
func (s Store) Watch(ctx context.Context, have Head, wait time.Duration) (Head, []byte, error) {
	changes, err := s.KV.Watch(ctx, s.Prefix+HeadKey, have.kvRevision, wait)
	if err != nil || len(changes.Entries) == 0 {
		return have, nil, err
	}
	h, text, err := s.Load(ctx)
	if err != nil || h.Revision <= have.Revision {
		return have, nil, err
	}
	return h, text, nil
}

// head reads the head; zero when there is none.
func (s Store) head(ctx context.Context) (Head, error) {
	e, err := s.KV.Get(ctx, s.Prefix+HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	return DecodeHead(e)
}

// headSince reads a head of revision base or newer. An older one comes from a
// service that answers from its past; to call the edit lost by it would be
// false if an earlier try of the edit was accepted.
func (s Store) headSince(ctx context.Context, base uint64) (Head, error) {
	for try := 0; ; try++ {
		h, err := s.head(ctx)
		if err != nil || h.Revision >= base {
			return h, err
		}
		if err := s.pause(ctx, try); err != nil {
			return Head{}, fmt.Errorf("%w: the platform shows revision %d, older than base %d: %w", ErrOutcomeUnknown, h.Revision, base, err)
		}
	}
}

// Text returns the text of a revision whose pieces h still names, or
// platform.ErrNotFound.
func (s Store) Text(ctx context.Context, h Head, revision uint64) ([]byte, error) {
	if revision == h.Revision {
		return s.read(ctx, h.Pieces, h.SHA256)
	}
	for _, old := range h.Retired {
		if old.Revision == revision {
			return s.read(ctx, old.Keys, old.SHA256)
		}
	}
	return nil, platform.ErrNotFound
}

// read joins pieces and checks their sum.
func (s Store) read(ctx context.Context, keys []string, sum string) ([]byte, error) {
	var text []byte
	for _, key := range keys {
		e, err := s.KV.Get(ctx, s.Prefix+key)
		if err != nil {
			return nil, eris.Wrapf(err, "piece %s", key)
		}
		text = append(text, e.Value...)
	}
	if checksum(text) != sum {
		return nil, eris.Wrapf(ErrCorrupt, "pieces of sum %s", sum)
	}
	return text, nil
}

// Commit implements the function Commit.
func (s Store) Commit(ctx context.Context, base uint64, text []byte, editID string) (Head, error) {
	if err := checkEditID(editID); err != nil {
		return Head{}, err
	}
	cur, err := s.headSince(ctx, base)
	if err != nil {
		return Head{}, err
	}
	if done, found, err := s.settled(cur, base, text, editID); found {
		return done, err
	}
	next := cur.next(text, editID)
	next.raise(s.Floor)
	if err := s.putPieces(ctx, next.Pieces, split(text)); err != nil {
		return Head{}, err
	}
	h, err := s.swapHead(ctx, cur, next)
	switch {
	case err == nil:
		s.remove(ctx, cur.expired(next))
	case errors.Is(err, ErrConflict):
		s.remove(ctx, next.Pieces)
	}
	return h, err
}

// settled reports whether cur already decides the edit, and how.
func (s Store) settled(cur Head, base uint64, text []byte, editID string) (Head, bool, error) {
	if e, ok := cur.FindEdit(editID); ok {
		if e.SHA256 != checksum(text) {
			return Head{}, true, ErrEditIDReused
		}
		if e.Revision == cur.Revision {
			return cur, true, nil
		}
		return Head{Revision: e.Revision, EditID: e.ID, SHA256: e.SHA256}, true, nil
	}
	switch {
	case cur.Revision == base:
		return Head{}, false, nil
	case len(cur.Edits) > 0 && base+1 < cur.Edits[0].Revision:
		return Head{}, true, fmt.Errorf("%w: base %d, remembered from revision %d", ErrBaseTooOld, base, cur.Edits[0].Revision)
	default:
		return Head{}, true, &ConflictError{Base: base, Current: cur}
	}
}

// putPieces writes the pieces. Their keys hold the edit ID, its base and the
// checksum, so a piece that exists already is the same, and the pieces of an
// edit that lost on one base are not those of its next try on another.
func (s Store) putPieces(ctx context.Context, keys []string, pieces [][]byte) error {
	for i, key := range keys {
		err := s.retry(ctx, func() error {
			_, err := s.KV.CompareAndSwap(ctx, s.Prefix+key, 0, pieces[i], 0)
			if errors.Is(err, platform.ErrConflict) {
				return nil
			}
			return err
		})
		if err != nil {
			return eris.Wrapf(err, "write piece %s", key)
		}
	}
	return nil
}

// swapHead replaces cur by next. A write without a reply may be applied at any
// later time as long as the head is cur, so it is tried again until the head
// is known to be another: that settles all tries, since each expects cur.
func (s Store) swapHead(ctx context.Context, cur, next Head) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, eris.Wrap(err, "encode head")
	}
	maybe := false
	for try := 0; ; try++ {
		e, err := s.KV.CompareAndSwap(ctx, s.Prefix+HeadKey, cur.kvRevision, value, 0)
		switch {
		case err == nil:
			next.kvRevision = e.Revision
			return next, nil
		case errors.Is(err, platform.ErrConflict):
			return s.outcome(ctx, cur, next, try)
		case errors.Is(err, platform.ErrUnknown):
			maybe = true
		case !maybe:
			return Head{}, err
		}
		if err := s.pause(ctx, try); err != nil {
			return Head{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// outcome reads the head that replaced cur. A service that answers from its
// past is asked until it shows a newer head than cur.
func (s Store) outcome(ctx context.Context, cur, next Head, try int) (Head, error) {
	for ; ; try++ {
		h, err := s.head(ctx)
		if err == nil && h.kvRevision > cur.kvRevision {
			return s.judge(h, cur, next)
		}
		if err := s.pause(ctx, try); err != nil {
			return Head{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// judge tells from a newer head whether next was accepted.
func (s Store) judge(h, cur, next Head) (Head, error) {
	if e, ok := h.FindEdit(next.EditID); ok {
		if e.SHA256 != next.SHA256 {
			return Head{}, ErrEditIDReused
		}
		if h.Revision == e.Revision {
			return h, nil
		}
		return Head{Revision: e.Revision, EditID: e.ID, SHA256: e.SHA256}, nil
	}
	if len(h.Edits) > 0 && next.Revision < h.Edits[0].Revision {
		return Head{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrBaseTooOld)
	}
	return Head{}, &ConflictError{Base: cur.Revision, Current: h}
}

// retry repeats f while the outcome of its write is unknown.
func (s Store) retry(ctx context.Context, f func() error) error {
	for try := 0; ; try++ {
		err := f()
		if !errors.Is(err, platform.ErrUnknown) {
			return err
		}
		if perr := s.pause(ctx, try); perr != nil {
			return err
		}
	}
}

// remove deletes pieces that no head names any more. A failure only leaves
// them behind.
func (s Store) remove(ctx context.Context, keys []string) {
	for _, key := range keys {
		if e, err := s.KV.Get(ctx, s.Prefix+key); err == nil {
			_ = s.KV.Delete(ctx, e.Key, e.Revision)
		}
	}
}

func (s Store) pause(ctx context.Context, try int) error {
	if s.Pause != nil {
		return s.Pause(ctx, try)
	}
	d := min(maxPause, minPause<<min(try, 10))
	d = d/2 + rand.N(d/2)
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
