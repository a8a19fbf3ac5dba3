package tables

import (
	"crypto/sha256"
	"time"
)

// KeySpace is the number of keys in a pool's data. The shard map of a snapshot
// splits [0, KeySpace) into ranges.
const KeySpace = 1 << 16

// Tables is one revision of both tables.
type Tables struct {
	Revision          uint64 // 0: no tables yet
	EditID            string
	Text              []byte // the INI text that was parsed
	Routes            map[string]*Route
	Pools             map[string]*Pool
	ZonesOutOfService map[string]bool // availability zones that get no new requests
	Limits            Limits          // of callers' connections; zero: those of the settings apply
	// Teams are those that may send requests, by name; nil: requests need no API key.
	Teams map[string]*Team
}

// RouteKind distinguishes queries from actions.
type RouteKind uint8

// The kinds of routes.
const (
	// Query is sent to every shard of every pool of the route; the answers are
	// merged.
	Query RouteKind = iota
	// Action is sent to one replica of one pool.
	Action
)

// Merge is how the parts of a query are combined into one answer.
type Merge string

// The ways to merge parts.
const (
	MergeConcat Merge = "concat" // a JSON array of the parts
	MergeSum    Merge = "sum"    // the sum of the parts' numbers
	MergeFirst  Merge = "first"  // the only part, unchanged
	MergeTop    Merge = "top"    // the greatest records of all parts; see package topk
)

// Team is a group of callers with API keys of its own.
type Team struct {
	Name string
	// Priority takes precedence over that of the route, if HasPriority is set; 0 is the
	// most urgent.
	Priority    int
	HasPriority bool
	// Regions are those whose replicas may execute the team's requests; empty: all.
	Regions []string
	Keys    [][sha256.Size]byte // digests of the API keys
}

// Route is one "[route NAME]" section.
type Route struct {
	Name        string
	Kind        RouteKind
	Pools       []string // names in the pools table
	Merge       Merge
	Deadline    time.Duration // default and maximum of a request's deadline
	Idempotent  bool
	Partial     bool    // an answer may lack parts
	MinCoverage float64 // share of shards below which the request is refused
	Urgent      bool    // admitted before other routes under overload

	// Host and Prefix select the route by host and path for requests that do not
	// name their route. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	// Objective is the latency objective, within which an answer has its full
	// value; 0: Deadline.
	Objective time.Duration
	// MaxAttempts is the number of replicas that may execute one part; 0: the
	// policy decides.
	MaxAttempts int
	// Priority orders routes that compete for a pool; 0 is the most urgent.
	Priority int
	// Regions are those whose replicas may execute requests; empty: all.
	Regions []string
	// Weights are the proportions in which an action's requests are distributed
	// over Pools; empty: the route has one pool.
	Weights []float64
	// Public routes take requests without an API key.
	Public bool
	Top    int // number of records in the answer of MergeTop
}

// Pool is one "[pool NAME]" section.
type Pool struct {
	Name        string
	Shards      int
	Slots       int           // concurrent requests that a warm replica can execute
	Connections int           // connections that a replica accepts from all VMs together
	ConnectCost time.Duration // time that a replica spends on a new connection
	ColdSlots   int           // concurrent requests that a cold replica can execute
	Upstreams   []Upstream    // ordered by ID
	Rollout     *Rollout      // nil: no rollout

	// Discovered pools list no upstreams here; the upstreams register themselves.
	Discovered bool
	// ColdRate is the fleet-wide limit of requests per second to a cold replica
	// of a discovered pool; 0: no limit.
	ColdRate float64
	ColdTime time.Duration // how long a replica stays cold after its start
}

// Limits bound the size of a caller's requests, the time in which a request's
// header must arrive, and the time that a connection may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // from the first byte of a request to its header's end
	IdleTimeout   time.Duration // of a connection between two requests
}

// Upstream is one replica of one shard of a pool.
type Upstream struct {
	ID       string
	Addr     string // IP:port
	Zone     string
	Shard    int
	Version  string
	Draining bool // listed under the pool's leaving key
}

// Rollout moves a pool's traffic from version From to version To.
type Rollout struct {
	From  string
	To    string
	Share float64   // final share of To, 0 to 1
	Start time.Time // when the rollout starts
	End   time.Time // when Share must be reached
}

// ByShard returns the pool's upstreams of one shard, ordered by ID.
func (p *Pool) ByShard(shard int) []Upstream {
	var out []Upstream
	for _, u := range p.Upstreams {
		if u.Shard == shard {
			out = append(out, u)
		}
	}
	return out
}

// Upstream returns the pool's upstream with an ID and whether there is one.
func (p *Pool) Upstream(id string) (Upstream, bool) {
	for _, u := range p.Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}
