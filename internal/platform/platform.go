package platform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Errors of the key-value service. ErrUnknown is the only one after which
// a write may have been applied.
var (
	ErrNotFound      = errors.New("platform: key not found")
	ErrConflict      = errors.New("platform: key is not at the expected revision")
	ErrUnavailable   = errors.New("platform: service unavailable; call not applied")
	ErrIncomplete    = errors.New("platform: reply was still coming in when its time was over")
	ErrUnknown       = errors.New("platform: no reply; call may have been applied")
	ErrLeaseNotFound = errors.New("platform: lease not found")
	ErrTooLarge      = errors.New("platform: value too large")
	ErrBudget        = errors.New("platform: call budget exhausted; call not sent")
	ErrCompacted     = errors.New("platform: history after the revision has been compacted")
)

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Entry is a key with its value. Revision increases with every write to any key
// of the service, so it also orders writes to different keys. It includes the
// store's era (package era).
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
	// must not exist) and returns the new entry, or ErrConflict. If lease is
	// not 0, the key is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (Entry, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits until a key with the prefix changes after revision from and
	// returns the changes in order. It returns no changes if there are none
	// within wait.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Changes, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl, or returns ErrLeaseNotFound.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Changes is the result of a watch. Entries is complete up to Revision, a
// revision of the whole service from which the next watch continues.
type Changes struct {
	// AsOf is the instant of package boottime as of which the state is confirmed: when the
	// store was called, or an earlier one; 0: not stated.
	AsOf     time.Duration `json:"-"`
	Revision uint64        `json:"revision"`
	Entries  []Entry       `json:"entries"`
}

// Watcher reads the keys of a prefix and watches them for changes.
type Watcher interface {
	// Snapshot returns the entries whose keys begin with prefix, and a
	// revision from which a watch returns all later changes.
	Snapshot(ctx context.Context, prefix string) (Changes, error)
	// Watch behaves as KV.Watch. It returns ErrCompacted if the changes after
	// from are no longer available.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Changes, error)
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one item of the platform's list: a VM of this system or an upstream.
type VM struct {
	ID    string  `json:"id"`
	Zone  string  `json:"zone"`
	Kind  string  `json:"kind"` // "sapphirewall" or "upstream"
	State VMState `json:"state"`
	// Control is the address of the control process on a VM of this system.
	Control string `json:"control,omitempty"`
}

// The kinds of VM in the list.
const (
	KindSystem   = "sapphirewall"
	KindUpstream = "upstream"
)

// VMList is the platform's list of VMs, which may be out of date.
type VMList interface {
	// VMs returns the list, ordered by ID.
	VMs(ctx context.Context) ([]VM, error)
}
