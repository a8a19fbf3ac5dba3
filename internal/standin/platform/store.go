package standinplatform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// leasePollInterval is how often a waiting watch looks for lapsed leases.
const leasePollInterval = 20 * time.Millisecond

// Faults are the faults of a Store. Counted faults end by themselves.
type Faults struct {
	Down         bool          `json:"down"`          // calls fail and are not applied
	AddedLatency time.Duration `json:"slow"`          // added to each call, ns
	LoseReplies  int           `json:"lose_replies"`  // writes that are applied without a reply
	LoseRequests int           `json:"lose_requests"` // writes that are neither applied nor answered
	StaleReads   bool          `json:"past"`          // reads answer from the moment of switching on
	ListLag      time.Duration `json:"list_lag"`      // age of the list of VMs, ns
}

// Clock tells the time; tests pass their own.
type Clock func() time.Time

type lease struct {
	ttl time.Duration
	end time.Time
}

// listChange is the list of VMs from a time on.
type listChange struct {
	at   time.Time
	list []platform.VM
}

// Store is the key-value service and the list of VMs. It implements
// platform.KV and platform.VMList and is safe for concurrent use.
type Store struct {
	now   Clock
	sleep func(context.Context, time.Duration)

	mu       sync.Mutex // guards the fields below
	revision uint64
	entries  map[string]platform.Entry // deleted keys stay, marked
	leases   map[platform.LeaseID]lease
	nextID   platform.LeaseID
	changed  chan struct{} // closed by the next change
	faults   Faults
	past     map[string]platform.Entry
	pastRev  uint64
	lists    []listChange
	calls    map[string]uint64
}

// NewStore returns an empty store on the clock now.
func NewStore(now Clock) *Store {
	return &Store{
		now:     now,
		sleep:   sleepReal,
		entries: map[string]platform.Entry{},
		leases:  map[platform.LeaseID]lease{},
		changed: make(chan struct{}),
		calls:   map[string]uint64{},
	}
}

func sleepReal(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.past, s.pastRev = copyEntries(s.entries), s.revision
	}
	s.faults = f
}

// Faults returns the faults still on.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls by kind.
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
	s.lists = append(s.lists, listChange{s.now(), c})
}

// begin counts a call, brings its faults about, and returns with the lock
// held when the call may go on.
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
	s.lapse()
	return nil
}

// endWrite releases the lock and loses the reply of an applied write if that
// fault is on.
func (s *Store) endWrite(err error) error {
	defer s.mu.Unlock()
	if err == nil && s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return platform.ErrUnknown
	}
	return err
}

// lapse ends the leases whose time is up and deletes their keys.
func (s *Store) lapse() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.drop(id)
		}
	}
}

// drop ends one lease and deletes its keys.
func (s *Store) drop(id platform.LeaseID) {
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

// put writes an entry at the next revision and wakes the watches.
func (s *Store) put(e platform.Entry) platform.Entry {
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return e
}

// readable returns what reads see, and its revision.
func (s *Store) readable() (map[string]platform.Entry, uint64) {
	if s.faults.StaleReads {
		return s.past, s.pastRev
	}
	return s.entries, s.revision
}

// Get implements platform.KV.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.begin(ctx, "get", false); err != nil {
		return platform.Entry{}, err
	}
	defer s.mu.Unlock()
	entries, _ := s.readable()
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
	entries, _ := s.readable()
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
	if s.liveRevision(key) != expect {
		return platform.Entry{}, s.endWrite(platform.ErrConflict)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return platform.Entry{}, s.endWrite(platform.ErrLeaseNotFound)
	}
	e := s.put(platform.Entry{Key: key, Value: append([]byte(nil), value...), Lease: id})
	return e, s.endWrite(nil)
}

// liveRevision is the revision of a key, or 0 if it doesn't exist.
func (s *Store) liveRevision(key string) uint64 {
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
	switch s.liveRevision(key) {
	case 0:
		return s.endWrite(platform.ErrNotFound)
	case expect:
		s.put(platform.Entry{Key: key, Deleted: true})
		return s.endWrite(nil)
	default:
		return s.endWrite(platform.ErrConflict)
	}
}

// Watch implements platform.KV. Of several changes of one key it tells the
// last.
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
	entries, revision := s.readable()
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
	s.drop(id)
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
