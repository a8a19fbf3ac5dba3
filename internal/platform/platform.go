package platform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// The errors of the key-value service. ErrUnknown is the only one after which
// a write may have been applied.
var (
	ErrNotFound      = errors.New("platform: key not found")
	ErrConflict      = errors.New("platform: key has another revision")
	ErrUnavailable   = errors.New("platform: service unavailable, not applied")
	ErrUnknown       = errors.New("platform: no reply, may have been applied")
	ErrLeaseNotFound = errors.New("platform: lease not found")
	ErrTooLarge      = errors.New("platform: value too large")
	ErrBudget        = errors.New("platform: call budget used up, not sent")
	ErrCompacted     = errors.New("platform: the history after the revision is gone")
)

// LeaseID names a lease; 0 is no lease.
type LeaseID uint64

// Entry is a key with its value. Revision grows with every write to the whole
// service, so it orders the writes of different keys too.
type Entry struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
	Deleted  bool    `json:"deleted,omitempty"`
}

// KV is the key-value service.
type KV interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is expect (0: the key
	// must not exist) and returns the new entry, or ErrConflict. The key is
	// deleted with its lease unless lease is 0.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (Entry, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits until a key with the prefix changes after revision from and
	// returns the changes in order, or none after wait.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Changes, error)
	// Grant creates a lease that lapses after ttl without renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl, or returns ErrLeaseNotFound.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Changes is the result of a watch. Revision is the service's revision up to
// which the changes are complete; watch on from there.
type Changes struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Watcher follows the keys of a prefix.
type Watcher interface {
	// Snapshot returns the entries whose keys begin with prefix, and a
	// revision from which a watch tells all that has changed since.
	Snapshot(ctx context.Context, prefix string) (Changes, error)
	// Watch waits as KV's does. It returns ErrCompacted when the changes after
	// from can't be told any more.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Changes, error)
}

// VMState is the platform's word on a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list: a VM of the system or an upstream.
type VM struct {
	ID    string  `json:"id"`
	Zone  string  `json:"zone"`
	Kind  string  `json:"kind"` // "sapphirewall" or "upstream"
	State VMState `json:"state"`
	// Control is the address of the control process on a VM of the system.
	Control string `json:"control,omitempty"`
}

// The kinds of VM in the list.
const (
	KindSystem   = "sapphirewall"
	KindUpstream = "upstream"
)

// VMList is the platform's list of VMs; it lags.
type VMList interface {
	// VMs returns the list, ordered by ID.
	VMs(ctx context.Context) ([]VM, error)
}
