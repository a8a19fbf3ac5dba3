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

// ErrNoReplica is returned for a selector that fits no replica.
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

// Options configures the replicas of a fleet that is made from tables.
type Options struct {
	Seed    uint64
	Service ServiceTime            // zero: the defaults
	PerPool map[string]ServiceTime // overrides Service
	Cold    ColdStart              // zero: the defaults
}

// Fleet is a set of replicas with their snapshots and records. It is safe for
// concurrent use.
type Fleet struct {
	RequestLog *RequestLog

	mu       sync.Mutex // guards the fields below
	replicas map[string]*Replica
	order    []string
	shards   map[string]int
	layouts  map[uint64]Layout // of every snapshot ever published
	holds    map[uint64]bool   // snapshots held now
}

// FromTables returns a fleet with a replica for each upstream of t.
func FromTables(t *tables.Tables, o Options) *Fleet {
	f := &Fleet{
		RequestLog: &RequestLog{}, replicas: map[string]*Replica{},
		shards: map[string]int{}, layouts: map[uint64]Layout{}, holds: map[uint64]bool{},
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

// config is the configuration of one replica of a pool.
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

// Close ends all replicas for good.
func (f *Fleet) Close() {
	for _, r := range f.Select(Selector{}) {
		r.close()
	}
}

// Selector names replicas; empty fields fit all.
type Selector struct {
	ID      string
	Pool    string
	Zone    string
	Version string
}

func (s Selector) fits(c Config) bool {
	fits := func(want, have string) bool { return want == "" || want == have }
	return fits(s.ID, c.ID) && fits(s.Pool, c.Pool) && fits(s.Zone, c.Zone) && fits(s.Version, c.Version)
}

// Select returns the replicas that s fits, ordered by ID.
func (f *Fleet) Select(s Selector) []*Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Replica
	for _, id := range f.order {
		if r := f.replicas[id]; s.fits(r.Config()) {
			out = append(out, r)
		}
	}
	return out
}

// Replica returns the replica of an ID.
func (f *Fleet) Replica(id string) (*Replica, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[id]; ok {
		return r, nil
	}
	return nil, eris.Wrapf(ErrNoReplica, "%q", id)
}

// UpdateFaults changes the faults of the replicas that s fits.
func (f *Fleet) UpdateFaults(s Selector, change func(*Faults)) {
	for _, r := range f.Select(s) {
		r.UpdateFaults(change)
	}
}

// Layout gives for each pool the bounds of the shards of one snapshot: shard i
// holds [Bounds[i], Bounds[i+1]).
type Layout map[string][]uint32

// EvenBounds splits the key space of a pool into n shards of one size.
func EvenBounds(n int) []uint32 {
	out := make([]uint32, n+1)
	for i := range out {
		out[i] = uint32(i * tables.KeySpace / n)
	}
	return out
}

// Publish makes every replica hold a snapshot. A pool that l leaves out is
// split evenly into the shards of the tables.
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
	f.holds[snapshot] = true
	f.mu.Unlock()
	f.holdAll()
}

// LayoutOf returns the layout of a snapshot that was published; it is kept when
// the snapshot is dropped.
func (f *Fleet) LayoutOf(snapshot uint64) (Layout, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.layouts[snapshot]
	return l, ok
}

// Drop makes every replica give up a snapshot.
func (f *Fleet) Drop(snapshot uint64) {
	f.mu.Lock()
	delete(f.holds, snapshot)
	f.mu.Unlock()
	f.holdAll()
}

func (f *Fleet) holdAll() {
	for _, r := range f.Select(Selector{}) {
		r.hold(f.heldBy(r.Config()))
	}
}

// heldBy returns what a replica holds, in order of the snapshots. A replica
// whose shard number is past the shards of a snapshot holds one of them again.
func (f *Fleet) heldBy(c Config) []wire.Held {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []wire.Held
	for id := range f.holds {
		bounds := f.layouts[id][c.Pool]
		n := len(bounds) - 1
		shard := c.Shard % n
		out = append(out, wire.Held{
			Snapshot: id, Lo: bounds[shard], Hi: bounds[shard+1],
			Shard: uint32(shard), ShardCount: uint32(n),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Snapshot < out[j].Snapshot })
	return out
}
