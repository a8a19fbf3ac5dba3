package standinplatform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// leasePollInterval is how often a waiting watch checks for expired leases.
const leasePollInterval = 20 * time.Millisecond

// Faults are the injected faults of a Store. Faults with a count end after that
// many writes.
type Faults struct {
	Down         bool          `json:"down"`          // calls fail as unavailable and are not applied
	AddedLatency time.Duration `json:"slow"`          // latency added to each call, ns
	LoseReplies  int           `json:"lose_replies"`  // number of writes that are applied without a reply
	LoseRequests int           `json:"lose_requests"` // number of writes that are neither applied nor answered
	StaleReads   bool          `json:"past"`          // reads return the state at the time this fault was switched on
	ListLag      time.Duration `json:"list_lag"`      // age of the returned list of VMs, ns
}

// Clock returns the current time; tests supply their own.
type Clock func() time.Time

type lease struct {
	ttl time.Duration
	end time.Time
}

// listVersion is a list of VMs that is valid from the time at.
type listVersion struct {
	at   time.Time
	list []platform.VM
}

// Store holds the key-value data and the list of VMs. It implements
// platform.KV and platform.VMList and is safe for concurrent use.
type Store struct {
	now   Clock
	sleep func(context.Context, time.Duration)

	mu            sync.Mutex // guards the fields below
	revision      uint64
	entries       map[string]platform.Entry // deleted keys stay with Deleted set, for watches
	leases        map[platform.LeaseID]lease
	nextID        platform.LeaseID
	changed       chan struct{} // closed by the next change
	faults        Faults
	staleEntries  map[string]platform.Entry
	staleRevision uint64
	lists         []listVersion
	calls         map[string]uint64
}

// NewStore returns an empty store that reads the time from now.
func NewStore(now Clock) *Store {
	return &Store{
		now:     now,
		sleep:   sleepContext,
		entries: map[string]platform.Entry{},
		leases:  map[platform.LeaseID]lease{},
		changed: make(chan struct{}),
		calls:   map[string]uint64{},
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.staleEntries, s.staleRevision = copyEntries(s.entries), s.revision
	}
	s.faults = f
}

// Faults returns the faults that are still active, with the remaining counts.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls so far by kind.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(list []platform.VM) {
	c := append([]platform.VM(nil), list...)
	sort.Slice(c, func(i, j int) bool { return c[i].ID < c[j].ID })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, listVersion{s.now(), c})
}

// begin counts a call and applies the injected faults. It returns nil with s.mu
// held if the call may proceed, or an error with s.mu released.
func (s *Store) begin(ctx context.Context, kind string, write bool) error {
	s.mu.Lock()
	s.calls[kind]++
	slow := s.faults.AddedLatency
	s.mu.Unlock()
	if slow > 0 {
		s.sleep(ctx, slow)
	}
	s.mu.Lock()
	switch {
	case s.faults.Down || ctx.Err() != nil:
		s.mu.Unlock()
		return platform.ErrUnavailable
	case write && s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		s.mu.Unlock()
		return platform.ErrUnknown
	}
	s.expireLeases()
	return nil
}

// endWrite releases s.mu. It replaces the result of an applied write by
// ErrUnknown while the LoseReplies fault is active.
func (s *Store) endWrite(err error) error {
	defer s.mu.Unlock()
	if err == nil && s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return platform.ErrUnknown
	}
	return err
}

// expireLeases removes the leases whose TTL has passed and deletes their keys.
func (s *Store) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and deletes its keys.
func (s *Store) removeLease(id platform.LeaseID) {
	delete(s.leases, id)
	var keys []string
	for k, e := range s.entries {
		if e.Lease == id && !e.Deleted {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.put(platform.Entry{Key: k, Deleted: true})
	}
}

// put stores an entry at the next revision and wakes all waiting watches.
func (s *Store) put(e platform.Entry) platform.Entry {
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return e
}

// visibleEntries returns the entries that reads use and their revision.
func (s *Store) visibleEntries() (map[string]platform.Entry, uint64) {
	if s.faults.StaleReads {
		return s.staleEntries, s.staleRevision
	}
	return s.entries, s.revision
}

// Get implements platform.KV.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.begin(ctx, "get", false); err != nil {
		return platform.Entry{}, err
	}
	defer s.mu.Unlock()
	entries, _ := s.visibleEntries()
	e, ok := entries[key]
	if !ok || e.Deleted {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

// List implements platform.KV.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := s.begin(ctx, "list", false); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	entries, _ := s.visibleEntries()
	out := []platform.Entry{}
	for k, e := range entries {
		if strings.HasPrefix(k, prefix) && !e.Deleted {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// CompareAndSwap implements platform.KV.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, id platform.LeaseID) (platform.Entry, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Entry{}, platform.ErrTooLarge
	}
	if err := s.begin(ctx, "swap", true); err != nil {
		return platform.Entry{}, err
	}
	if s.currentRevision(key) != expect {
		return platform.Entry{}, s.endWrite(platform.ErrConflict)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return platform.Entry{}, s.endWrite(platform.ErrLeaseNotFound)
	}
	e := s.put(platform.Entry{Key: key, Value: append([]byte(nil), value...), Lease: id})
	return e, s.endWrite(nil)
}

// currentRevision returns the revision of a key, or 0 if the key doesn't exist.
func (s *Store) currentRevision(key string) uint64 {
	e := s.entries[key]
	if e.Deleted {
		return 0
	}
	return e.Revision
}

// Delete implements platform.KV.
func (s *Store) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.begin(ctx, "delete", true); err != nil {
		return err
	}
	switch s.currentRevision(key) {
	case 0:
		return s.endWrite(platform.ErrNotFound)
	case expect:
		s.put(platform.Entry{Key: key, Deleted: true})
		return s.endWrite(nil)
	default:
		return s.endWrite(platform.ErrConflict)
	}
}

// Watch implements platform.KV. If a key changed several times, only the last
// change is returned.
func (s *Store) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (platform.Changes, error) {
	timeout := time.After(wait)
	kind := "watch"
	for {
		if err := s.begin(ctx, kind, false); err != nil {
			return platform.Changes{}, err
		}
		found, changed := s.changesAfter(prefix, from), s.changed
		s.mu.Unlock()
		if len(found.Entries) > 0 {
			return found, nil
		}
		kind = "watch-wakeup"
		select {
		case <-changed:
		case <-time.After(leasePollInterval):
		case <-timeout:
			return found, nil
		case <-ctx.Done():
			return platform.Changes{}, platform.ErrUnavailable
		}
	}
}

func (s *Store) changesAfter(prefix string, from uint64) platform.Changes {
	entries, revision := s.visibleEntries()
	out := platform.Changes{Revision: revision, Entries: []platform.Entry{}}
	for k, e := range entries {
		if strings.HasPrefix(k, prefix) && e.Revision > from {
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Revision < out.Entries[j].Revision })
	return out
}

// Grant implements platform.KV.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.begin(ctx, "grant", true); err != nil {
		return 0, err
	}
	s.nextID++
	id := s.nextID
	s.leases[id] = lease{ttl: ttl, end: s.now().Add(ttl)}
	return id, s.endWrite(nil)
}

// Renew implements platform.KV.
func (s *Store) Renew(ctx context.Context, id platform.LeaseID) error {
	if err := s.begin(ctx, "renew", true); err != nil {
		return err
	}
	l, ok := s.leases[id]
	if !ok {
		return s.endWrite(platform.ErrLeaseNotFound)
	}
	l.end = s.now().Add(l.ttl)
	s.leases[id] = l
	return s.endWrite(nil)
}

// Revoke implements platform.KV.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.begin(ctx, "revoke", true); err != nil {
		return err
	}
	if _, ok := s.leases[id]; !ok {
		return s.endWrite(platform.ErrLeaseNotFound)
	}
	s.removeLease(id)
	return s.endWrite(nil)
}

// VMs implements platform.VMList.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.begin(ctx, "vms", false); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	asOf := s.now().Add(-s.faults.ListLag)
	list := []platform.VM{}
	for _, c := range s.lists {
		if !c.at.After(asOf) {
			list = c.list
		}
	}
	return append([]platform.VM{}, list...), nil
}

func copyEntries(in map[string]platform.Entry) map[string]platform.Entry {
	out := make(map[string]platform.Entry, len(in))
	for k, e := range in {
		out[k] = e
	}
	return out
}
