package rolloutstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// KeyPrefix begins the keys of outcomes, below the fleet's prefix.
const KeyPrefix = "rollout/"

// Phase is how far a rollout has come.
type Phase string

// The phases, in the only order in which they follow each other. A rollout may
// be taken back from both of the others.
const (
	InProgress Phase = "moving"
	Done       Phase = "done"
	RolledBack Phase = "taken-back"
)

// rank orders the phases.
var rank = map[Phase]int{InProgress: 1, Done: 2, RolledBack: 3}

// Record is what is kept of one rollout. Start tells rollouts of the same
// version apart.
type Record struct {
	Pool     string    `json:"pool"`
	Version  string    `json:"version"`
	Start    time.Time `json:"start"`
	Phase    Phase     `json:"phase"`
	Stage    int       `json:"stage"`
	Reason   string    `json:"reason,omitempty"`
	At       time.Time `json:"at"`       // when the phase was recorded
	By       string    `json:"by"`       // node that recorded it
	Revision uint64    `json:"revision"` // tables revision in force there
	Fence    uint64    `json:"fence"`    // grows with every holder of the lease

	kvRevision uint64
}

// The errors of Put; the record was not changed by this call.
var (
	// ErrFenced means that a later holder of the lease has written.
	ErrFenced = errors.New("rolloutstore: a later lease holder has written")
	// ErrAlreadyRecorded means that the stored phase is the same or further on.
	ErrAlreadyRecorded = errors.New("rolloutstore: phase is already recorded or passed")
)

// Key returns the key of a rollout below the fleet's prefix.
func Key(pool, version string, start time.Time) string {
	return fmt.Sprintf("%s%s/%s/%d", KeyPrefix, pool, version, start.Unix())
}

// Precedes reports whether next is further on than r.
func (r Record) Precedes(next Record) bool {
	if rank[next.Phase] != rank[r.Phase] {
		return rank[next.Phase] > rank[r.Phase]
	}
	return next.Stage > r.Stage
}

// Store reads and writes records of one fleet.
type Store struct {
	KV     platform.KV
	Prefix string
}

// List returns all records, ordered by key.
func (s Store) List(ctx context.Context) ([]Record, error) {
	entries, err := s.KV.List(ctx, s.Prefix+KeyPrefix)
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, e := range entries {
		r, err := Decode(e)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// Get returns the record of a rollout, or a zero Record.
func (s Store) Get(ctx context.Context, pool, version string, start time.Time) (Record, error) {
	e, err := s.KV.Get(ctx, s.Prefix+Key(pool, version, start))
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, nil
	}
	if err != nil {
		return Record{}, err
	}
	return Decode(e)
}

// SetFence marks the stored record with the fence of a new lease holder, so that
// the swap of an earlier holder which read it before fails.
func (s Store) SetFence(ctx context.Context, seen, fresh Record) (Record, error) {
	if seen.Fence > fresh.Fence {
		return Record{}, ErrFenced
	}
	if seen.Phase == "" {
		seen = fresh
		seen.Phase, seen.Stage, seen.Reason = InProgress, 0, ""
	}
	seen.Fence, seen.By = fresh.Fence, fresh.By
	return s.swap(ctx, seen)
}

// Put moves the record seen to the phase of next. The holder must have claimed
// seen.
func (s Store) Put(ctx context.Context, seen, next Record) (Record, error) {
	switch {
	case seen.Fence > next.Fence:
		return Record{}, ErrFenced
	case !seen.Precedes(next):
		return Record{}, ErrAlreadyRecorded
	}
	next.Stage = max(next.Stage, seen.Stage)
	next.kvRevision = seen.kvRevision
	return s.swap(ctx, next)
}

func (s Store) swap(ctx context.Context, r Record) (Record, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return Record{}, eris.Wrap(err, "encode record")
	}
	e, err := s.KV.CompareAndSwap(ctx, s.Prefix+Key(r.Pool, r.Version, r.Start), r.kvRevision, value, 0)
	if err != nil {
		return Record{}, err
	}
	r.kvRevision = e.Revision
	return r, nil
}

// Decode reads the record of an entry.
func Decode(e platform.Entry) (Record, error) {
	r := Record{kvRevision: e.Revision}
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return Record{}, eris.Wrapf(err, "record %s", e.Key)
	}
	if rank[r.Phase] == 0 {
		return Record{}, eris.Errorf("record %s: unknown phase %q", e.Key, r.Phase)
	}
	return r, nil
}
