package upstream

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirewall/sapphirewall/internal/tables"
	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

// ErrNoReplica is returned if no replica has the ID or matches the selector.
var ErrNoReplica = errors.New("standin: no such replica")

// The defaults of Options.
const (
	DefaultMean      = 4 * time.Millisecond
	DefaultSigma     = 0.5
	DefaultColdSlow  = 5
	DefaultWarmAfter = 20
	DefaultRestart   = 500 * time.Millisecond
	queuePerSlot     = 4
)

// Options configures the replicas of a fleet made by FromTables.
type Options struct {
	Seed    uint64
	Service ServiceTime            // zero: the defaults
	PerPool map[string]ServiceTime // overrides Service
	Cold    ColdStart              // zero: the defaults
}

// Fleet is a set of replicas with their snapshots and the log of their requests.
// It is safe for concurrent use.
type Fleet struct {
	RequestLog *RequestLog

	mu        sync.Mutex // guards the fields below
	replicas  map[string]*Replica
	order     []string
	shards    map[string]int
	layouts   map[uint64]Layout // by snapshot, of all snapshots published so far
	published map[uint64]bool   // snapshots that are published and not dropped
}

// FromTables returns a fleet with a replica for each upstream of t.
func FromTables(t *tables.Tables, o Options) *Fleet {
	f := &Fleet{
		RequestLog: &RequestLog{}, replicas: map[string]*Replica{},
		shards: map[string]int{}, layouts: map[uint64]Layout{}, published: map[uint64]bool{},
	}
	sums := map[string]bool{}
	for _, r := range t.Routes {
		sums[r.Name] = r.Merge == tables.MergeSum
	}
	for _, p := range t.Pools {
		f.shards[p.Name] = p.Shards
		for _, u := range p.Upstreams {
			c := o.config(p, u)
			c.SumRoutes = sums
			f.add(c)
		}
	}
	sort.Strings(f.order)
	return f
}

func (f *Fleet) add(c Config) {
	f.replicas[c.ID] = newReplica(c, f.RequestLog)
	f.order = append(f.order, c.ID)
}

// config returns the configuration of one replica of a pool.
func (o Options) config(p *tables.Pool, u tables.Upstream) Config {
	service, ok := o.PerPool[p.Name]
	if !ok {
		service = o.Service
	}
	if service.Mean == 0 {
		service = ServiceTime{Mean: DefaultMean, Sigma: DefaultSigma}
	}
	cold := o.Cold
	if cold.WarmAfter == 0 {
		cold = ColdStart{SlowFactor: DefaultColdSlow, WarmAfter: DefaultWarmAfter, RestartDelay: DefaultRestart}
	}
	return Config{
		ID: u.ID, Addr: u.Addr, Pool: p.Name, Zone: u.Zone, Shard: u.Shard, Version: u.Version,
		Slots: p.Slots, Queue: queuePerSlot * p.Slots, Connections: p.Connections,
		ConnectCost: p.ConnectCost, ColdSlots: p.ColdSlots, Service: service, Cold: cold, Seed: o.Seed,
	}
}

// Start starts all replicas; they are cold unless warm is true.
func (f *Fleet) Start(warm bool) error {
	var g errgroup.Group
	for _, r := range f.Select(Selector{}) {
		g.Go(func() error { return r.Start(warm) })
	}
	return g.Wait()
}

// Close stops all replicas for good; they can't be started again.
func (f *Fleet) Close() {
	for _, r := range f.Select(Selector{}) {
		r.close()
	}
}

// Selector selects replicas; an empty field matches all.
type Selector struct {
	ID      string
	Pool    string
	Zone    string
	Version string
}

func (s Selector) matches(c Config) bool {
	matches := func(want, have string) bool { return want == "" || want == have }
	return matches(s.ID, c.ID) && matches(s.Pool, c.Pool) && matches(s.Zone, c.Zone) && matches(s.Version, c.Version)
}

// Select returns the replicas that match s, ordered by ID.
func (f *Fleet) Select(s Selector) []*Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Replica
	for _, id := range f.order {
		if r := f.replicas[id]; s.matches(r.Config()) {
			out = append(out, r)
		}
	}
	return out
}

// Replica returns the replica with this ID.
func (f *Fleet) Replica(id string) (*Replica, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[id]; ok {
		return r, nil
	}
	return nil, eris.Wrapf(ErrNoReplica, "%q", id)
}

// UpdateFaults changes the faults of the replicas that match s.
func (f *Fleet) UpdateFaults(s Selector, change func(*Faults)) {
	for _, r := range f.Select(s) {
		r.UpdateFaults(change)
	}
}

// Layout maps each pool to the bounds of its shards in one snapshot: shard i holds
// the keys [bounds[i], bounds[i+1]).
type Layout map[string][]uint32

// EvenBounds returns the bounds that split the key space into n shards of equal
// size.
func EvenBounds(n int) []uint32 {
	out := make([]uint32, n+1)
	for i := range out {
		out[i] = uint32(i * tables.KeySpace / n)
	}
	return out
}

// Publish makes every replica hold a snapshot. A pool that is not in l is split
// evenly into the number of shards that the tables give it.
func (f *Fleet) Publish(snapshot uint64, l Layout) {
	f.mu.Lock()
	full := Layout{}
	for pool, n := range f.shards {
		full[pool] = EvenBounds(n)
		if b, ok := l[pool]; ok {
			full[pool] = b
		}
	}
	f.layouts[snapshot] = full
	f.published[snapshot] = true
	f.mu.Unlock()
	f.updateHeld()
}

// LayoutOf returns the layout of a published snapshot, also after the snapshot was
// dropped.
func (f *Fleet) LayoutOf(snapshot uint64) (Layout, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.layouts[snapshot]
	return l, ok
}

// Drop removes a snapshot from every replica.
func (f *Fleet) Drop(snapshot uint64) {
	f.mu.Lock()
	delete(f.published, snapshot)
	f.mu.Unlock()
	f.updateHeld()
}

func (f *Fleet) updateHeld() {
	for _, r := range f.Select(Selector{}) {
		r.setHeld(f.heldSnapshots(r.Config()))
	}
}

// heldSnapshots returns the snapshots that a replica holds, ordered by number. In
// a snapshot with too few shards for the replica's shard number, the replica holds
// the shard of that number modulo the number of shards.
func (f *Fleet) heldSnapshots(c Config) []wire.HeldSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []wire.HeldSnapshot
	for id := range f.published {
		bounds := f.layouts[id][c.Pool]
		n := len(bounds) - 1
		shard := c.Shard % n
		out = append(out, wire.HeldSnapshot{
			Snapshot: id, Lo: bounds[shard], Hi: bounds[shard+1],
			Shard: uint32(shard), ShardCount: uint32(n),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Snapshot < out[j].Snapshot })
	return out
}
