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

// KeyPrefix is the prefix of the keys of outcomes, after the fleet's prefix.
const KeyPrefix = "rollout/"

// Phase is the recorded phase of a rollout.
type Phase string

// The phases, in the only order in which they may follow each other. A rollout
// can be rolled back from either of the other phases.
const (
	InProgress Phase = "moving"
	Done       Phase = "done"
	RolledBack Phase = "taken-back"
)

// rank orders the phases.
var rank = map[Phase]int{InProgress: 1, Done: 2, RolledBack: 3}

// Record is the stored state of one rollout. Start distinguishes rollouts of the
// same version.
type Record struct {
	Pool     string    `json:"pool"`
	Version  string    `json:"version"`
	Start    time.Time `json:"start"`
	Phase    Phase     `json:"phase"`
	Stage    int       `json:"stage"`
	Reason   string    `json:"reason,omitempty"`
	At       time.Time `json:"at"`       // when the phase was recorded
	By       string    `json:"by"`       // node that recorded it
	Revision uint64    `json:"revision"` // tables revision in force at that node
	Fence    uint64    `json:"fence"`    // increases with each lease holder

	kvRevision uint64 // of the key
}

// Errors of SetFence and Put; the call did not change the record.
var (
	// ErrFenced means that a later lease holder has written the record.
	ErrFenced = errors.New("rolloutstore: a later lease holder has written the record")
	// ErrAlreadyRecorded means that the stored phase and stage are the same or
	// later.
	ErrAlreadyRecorded = errors.New("rolloutstore: this phase and stage, or later ones, are already recorded")
)

// Key returns the key of a rollout's record, without the fleet's prefix.
func Key(pool, version string, start time.Time) string {
	return fmt.Sprintf("%s%s/%s/%d", KeyPrefix, pool, version, start.Unix())
}

// Precedes reports whether next has a later phase than r, or the same phase and
// a later stage.
func (r Record) Precedes(next Record) bool {
	if rank[next.Phase] != rank[r.Phase] {
		return rank[next.Phase] > rank[r.Phase]
	}
	return next.Stage > r.Stage
}

// Store reads and writes the records of one fleet.
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

// Get returns the record of a rollout, or a zero Record if there is none.
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

// SetFence writes the fence of a new lease holder to the record seen, so that an
// earlier holder that has read it before can no longer change it. If there is no
// record yet, SetFence creates one in phase InProgress.
func (s Store) SetFence(ctx context.Context, seen, next Record) (Record, error) {
	if seen.Fence > next.Fence {
		return Record{}, ErrFenced
	}
	if seen.Phase == "" {
		seen = next
		seen.Phase, seen.Stage, seen.Reason = InProgress, 0, ""
	}
	seen.Fence, seen.By = next.Fence, next.By
	return s.swap(ctx, seen)
}

// Put moves the record seen to the phase and stage of next. The lease holder must
// have got seen from SetFence.
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
		return Record{}, eris.Wrap(err, "encode rollout record")
	}
	e, err := s.KV.CompareAndSwap(ctx, s.Prefix+Key(r.Pool, r.Version, r.Start), r.kvRevision, value, 0)
	if err != nil {
		return Record{}, err
	}
	r.kvRevision = e.Revision
	return r, nil
}

// Decode decodes the record in a store entry.
func Decode(e platform.Entry) (Record, error) {
	r := Record{kvRevision: e.Revision}
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return Record{}, eris.Wrapf(err, "decode rollout record %s", e.Key)
	}
	if rank[r.Phase] == 0 {
		return Record{}, eris.Errorf("decode rollout record %s: unknown phase %q", e.Key, r.Phase)
	}
	return r, nil
}
