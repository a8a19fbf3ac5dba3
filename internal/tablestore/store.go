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

// The bounds of the backoff between retries of a call, before jitter.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Store reads and commits the tables of one fleet. It has no mutable state and
// is safe for concurrent use.
type Store struct {
	KV     platform.KV
	Prefix string
	// Floor is the highest revision in force on any node. A commit gets a higher
	// one, since nodes never return to an older revision. Floor exceeds the
	// head's revision only after the platform lost writes.
	Floor uint64
	// Pause waits before retry number try, counted from 0; its error ends the
	// call. Nil waits with exponential backoff and jitter.
	Pause func(ctx context.Context, try int) error
}

// Load returns the stored tables, or a zero Head if there are none.
func Load(ctx context.Context, kv platform.KV, prefix string) (Head, []byte, error) {
	return Store{KV: kv, Prefix: prefix}.Load(ctx)
}

// Commit stores text as the revision after base. It returns the head of the
// edit once the edit is known to be accepted. Its errors besides those of the
// store are ErrConflict, ErrOutcomeUnknown, ErrBaseTooOld, ErrEditIDReused and
// ErrBadEditID.
func Commit(ctx context.Context, kv platform.KV, prefix string, base uint64, text []byte, editID string) (Head, error) {
	return Store{KV: kv, Prefix: prefix}.Commit(ctx, base, text, editID)
}

// Watch waits up to wait for tables with a higher revision than have and returns
// them, or have and no text if there are none. It never returns a lower
// revision.
func Watch(ctx context.Context, kv platform.KV, prefix string, have Head, wait time.Duration) (Head, []byte, error) {
	return Store{KV: kv, Prefix: prefix}.Watch(ctx, have, wait)
}

// maxLoadAttempts bounds how often Load reads the head. It reads it again if a
// later commit has deleted the pieces in the meantime.
const maxLoadAttempts = 3

// Load returns the stored tables, or a zero Head if there are none.
func (s Store) Load(ctx context.Context) (Head, []byte, error) {
	var err error
	for range maxLoadAttempts {
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

// Watch is the method form of the function Watch.
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

// head reads the head; it is zero if there is none.
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

// headAtLeast reads the head until its revision is base or newer. An older head
// is a stale read. Reporting a conflict because of it would be wrong if an
// earlier commit of the same edit was accepted.
func (s Store) headAtLeast(ctx context.Context, base uint64) (Head, error) {
	for try := 0; ; try++ {
		h, err := s.head(ctx)
		if err != nil || h.Revision >= base {
			return h, err
		}
		if err := s.pause(ctx, try); err != nil {
			return Head{}, fmt.Errorf("%w: platform still returns revision %d, older than base %d: %w", ErrOutcomeUnknown, h.Revision, base, err)
		}
	}
}

// Text returns the text of the current or a retired revision of h, or
// platform.ErrNotFound if h does not list the revision.
func (s Store) Text(ctx context.Context, h Head, revision uint64) ([]byte, error) {
	if revision == h.Revision {
		return s.readPieces(ctx, h.Pieces, h.SHA256)
	}
	for _, old := range h.Retired {
		if old.Revision == revision {
			return s.readPieces(ctx, old.Keys, old.SHA256)
		}
	}
	return nil, platform.ErrNotFound
}

// readPieces reads and joins pieces and verifies the checksum of the result.
func (s Store) readPieces(ctx context.Context, keys []string, sum string) ([]byte, error) {
	var text []byte
	for _, key := range keys {
		e, err := s.KV.Get(ctx, s.Prefix+key)
		if err != nil {
			return nil, eris.Wrapf(err, "read piece %s", key)
		}
		text = append(text, e.Value...)
	}
	if checksum(text) != sum {
		return nil, eris.Wrapf(ErrCorrupt, "pieces do not match checksum %s", sum)
	}
	return text, nil
}

// Commit is the method form of the function Commit.
func (s Store) Commit(ctx context.Context, base uint64, text []byte, editID string) (Head, error) {
	if err := checkEditID(editID); err != nil {
		return Head{}, err
	}
	cur, err := s.headAtLeast(ctx, base)
	if err != nil {
		return Head{}, err
	}
	if done, found, err := s.alreadyDecided(cur, base, text, editID); found {
		return done, err
	}
	next := cur.next(text, editID)
	next.raiseAbove(s.Floor)
	if err := s.putPieces(ctx, next.Pieces, split(text)); err != nil {
		return Head{}, err
	}
	h, err := s.swapHead(ctx, cur, next)
	switch {
	case err == nil:
		s.deletePieces(ctx, cur.droppedPieces(next))
	case errors.Is(err, ErrConflict):
		s.deletePieces(ctx, next.Pieces)
	}
	return h, err
}

// alreadyDecided reports whether cur shows the edit's outcome before any write:
// it was committed earlier, or it can't be committed on its base any more.
func (s Store) alreadyDecided(cur Head, base uint64, text []byte, editID string) (Head, bool, error) {
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
		return Head{}, true, fmt.Errorf("%w: base is %d, oldest listed edit made revision %d", ErrBaseTooOld, base, cur.Edits[0].Revision)
	default:
		return Head{}, true, &ConflictError{Base: base, Current: cur}
	}
}

// putPieces writes the pieces. A key contains the edit ID, its base and the
// piece's checksum. A piece that already exists is therefore identical, and
// deleting the pieces of an edit that lost on one base can't remove those of
// its next commit on another base.
func (s Store) putPieces(ctx context.Context, keys []string, pieces [][]byte) error {
	for i, key := range keys {
		err := s.retryUnknown(ctx, func() error {
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

// swapHead replaces cur by next. A write without a reply may still be applied
// as long as the head is cur. It is therefore repeated until the head is known
// to have changed: since every write expects cur, none can be applied after
// that.
func (s Store) swapHead(ctx context.Context, cur, next Head) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, eris.Wrap(err, "encode head")
	}
	maybeApplied := false
	for try := 0; ; try++ {
		e, err := s.KV.CompareAndSwap(ctx, s.Prefix+HeadKey, cur.kvRevision, value, 0)
		switch {
		case err == nil:
			next.kvRevision = e.Revision
			return next, nil
		case errors.Is(err, platform.ErrConflict):
			return s.resolveConflict(ctx, cur, next, try)
		case errors.Is(err, platform.ErrUnknown):
			maybeApplied = true
		case !maybeApplied:
			return Head{}, err
		}
		if err := s.pause(ctx, try); err != nil {
			return Head{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// resolveConflict reads the head that replaced cur and returns the outcome of
// the commit. Stale reads are repeated until the head is newer than cur.
func (s Store) resolveConflict(ctx context.Context, cur, next Head, try int) (Head, error) {
	for ; ; try++ {
		h, err := s.head(ctx)
		if err == nil && h.kvRevision > cur.kvRevision {
			return s.commitResult(h, cur, next)
		}
		if err := s.pause(ctx, try); err != nil {
			return Head{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// commitResult returns the outcome of committing next on cur, given a head h that
// is newer than cur.
func (s Store) commitResult(h, cur, next Head) (Head, error) {
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

// retryUnknown repeats f as long as the outcome of its write is unknown.
func (s Store) retryUnknown(ctx context.Context, f func() error) error {
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

// deletePieces deletes pieces that no head lists any more. Errors are ignored,
// since they only leave unused pieces behind.
func (s Store) deletePieces(ctx context.Context, keys []string) {
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
	d := min(maxBackoff, minBackoff<<min(try, 10))
	d = d/2 + rand.N(d/2)
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
