package tables

import "time"

// KeySpace is the number of keys of a pool's data; a snapshot's shard map
// splits [0, KeySpace) into ranges.
const KeySpace = 1 << 16

// Tables is one revision of both tables.
type Tables struct {
	Revision          uint64 // 0: no tables yet
	EditID            string
	Text              []byte // the INI text that was parsed
	Routes            map[string]*Route
	Pools             map[string]*Pool
	ZonesOutOfService map[string]bool // availability zones that receive no new work
	Limits            Limits          // of callers' connections; zero: the settings decide
}

// RouteKind tells queries from actions.
type RouteKind uint8

// The kinds of route.
const (
	// Query fans out to every shard of every pool of the route and merges.
	Query RouteKind = iota
	// Action sends one request to one replica of one pool.
	Action
)

// Merge names how the parts of a query become one answer.
type Merge string

// The merges.
const (
	MergeConcat Merge = "concat" // a JSON array of the parts
	MergeSum    Merge = "sum"    // the sum of the parts' numbers
	MergeFirst  Merge = "first"  // the single part as it is
	MergeTop    Merge = "top"    // the greatest records of the parts, see package topk
)

// Route is one "[route NAME]" section.
type Route struct {
	Name        string
	Kind        RouteKind
	Pools       []string // names in the pools table
	Merge       Merge
	Deadline    time.Duration // used when the caller names none, and its maximum
	Idempotent  bool
	Partial     bool    // partial answers are allowed
	MinCoverage float64 // share of shards below which the answer is a refusal
	Urgent      bool    // admitted before other routes under overload

	// Host and Prefix select the route of a request by its host and path, where
	// requests don't name their route. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	// Objective is the latency within which an answer is worth most; 0: Deadline.
	Objective time.Duration
	// MaxAttempts is how many replicas may run one part; 0: the policy decides.
	MaxAttempts int
	// Priority ranks routes that compete for a pool; 0 is the most urgent.
	Priority int
	// Regions are the only ones in which a replica may run it; none: all.
	Regions []string
	// Weights make an action go to one of Pools, in these proportions; empty:
	// the only pool.
	Weights []float64
	Top     int // records in the answer of MergeTop
}

// Pool is one "[pool NAME]" section.
type Pool struct {
	Name        string
	Shards      int
	Slots       int           // concurrent requests that a warm replica bears
	Connections int           // connections that a replica accepts from all of us
	ConnectCost time.Duration // time that a replica spends on a new connection
	ColdSlots   int           // concurrent requests that a cold replica bears
	Upstreams   []Upstream    // ordered by ID
	Rollout     *Rollout      // nil: no rollout

	// Discovered pools have no upstreams here; they announce themselves.
	Discovered bool
	// ColdRate is the number of requests a second that a cold replica of a
	// discovered pool bears from all VMs; 0: no bound.
	ColdRate float64
	ColdTime time.Duration // that a replica stays cold after its start
}

// Limits bound what a caller may send, and how long it may take or stay idle.
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
	Draining bool // named by the pool's leaving key
}

// Rollout moves a pool's traffic from version From to version To.
type Rollout struct {
	From  string
	To    string
	Share float64   // final share of To, 0 to 1
	Start time.Time // when the move began
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

// Upstream returns the pool's upstream of an ID.
func (p *Pool) Upstream(id string) (Upstream, bool) {
	for _, u := range p.Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}
