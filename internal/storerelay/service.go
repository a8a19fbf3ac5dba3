package storerelay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "store-relay"

// The constants of relaying.
const (
	// relaysPerZone is two, so that one may be lost without a call to the store
	// from every VM.
	relaysPerZone = 2
	// leastZone is the number of VMs in a zone from which relays are used: below,
	// they save few calls, and a change takes one step more.
	leastZone = 6
	// relayWait is how long a poll of a relay may wait: each is cheap, and its
	// end lets a VM see that its relays have changed.
	relayWait = 5 * time.Second
	// silentAfter is when a relay that brings no byte is given up, a third of
	// the time in which changes are due.
	silentAfter = 1200 * time.Millisecond
	// firstWait is the wait of the first watch at the store after the relays
	// could not tell: one that waits may hear nothing of changes that were made
	// before it began and whose history is gone, one that returns tells so.
	firstWait = time.Millisecond
	// probeEvery is the time between two probes of the store. A watch that was
	// waiting when the store stopped answering stays dead when it answers again,
	// so an outage must not fit between two probes: it has to be found out within
	// a part of the time in which changes are due.
	probeEvery = time.Second
	// probeLostEvery is the same while the store is lost: its return is worth more
	// than a few calls, above all to a VM that knows nothing yet.
	probeLostEvery = 200 * time.Millisecond
	// probeTimeout is far above what a slow store takes for a read.
	probeTimeout = 800 * time.Millisecond
	// restAfter is how long a relay that can't be reached is left alone, and
	// askRelaysAgain one that has lost the store itself.
	restAfter      = 3 * time.Second
	askRelaysAgain = 250 * time.Millisecond
	// pollEvery is the time between two calls to the store of a VM that is no
	// reader, while no other VM can tell: a third of the time in which changes
	// are due.
	pollEvery = time.Second
)

// Store is what a relay uses of the platform's store.
type Store interface {
	platform.Watcher
	// Probe makes the cheapest read there is.
	Probe(ctx context.Context) error
}

// Service is a platform.Watcher for the process, and answers other VMs.
type Service struct {
	store Store
	self  vmregistry.Node
	pool  *peer.Pool
	opts  peer.Options
	log   zerolog.Logger

	seeds   []string // addresses of VMs to ask while none is known
	learned func(nodes []vmregistry.Node, all bool)

	mu      sync.Mutex // guards all below
	mirrors map[string]*Mirror
	reader  bool     // this VM reads the store
	relays  []string // addresses of the relays to ask, if it doesn't
	resting map[string]time.Time
	nodes   []vmregistry.Node    // that serve; empty: not known
	readers []string             // addresses of the others that read the store
	lost    bool                 // the store did not answer when it was last asked
	polled  map[string]time.Time // by prefix: when a VM that is no reader asked the store
	// reads has the prefixes of which the store itself told last, and has not
	// failed since: only of these may other VMs be told.
	reads map[string]bool
	// neighbour is by prefix the one that told last; unanswered is when nobody
	// could.
	neighbour  map[string]string
	unanswered time.Time
	recalled   map[string]platform.Changes // by prefix: what others knew before they lost the store
	byRelay    map[string]bool             // by prefix: its last news came from a relay
	probing    sync.Mutex                  // held during a probe; taken before mu
	probed     time.Time
	healthy    error         // of the last probe
	known      chan struct{} // closed once the VMs are known
	server     *peer.Server
}

// New returns the relay service of a VM of a fleet.
func New(store Store, fleet string, self vmregistry.Node, log zerolog.Logger) *Service {
	o := peer.Options{
		Self:    peer.Identity{Fleet: fleet, Node: self.Name, Zone: self.Zone, Role: peer.RoleControl, Incarnation: uint64(time.Now().UnixNano())},
		Streams: 1, StallTimeout: silentAfter,
	}
	return &Service{
		store: store, self: self, opts: o, pool: peer.NewPool(o), log: log,
		mirrors: map[string]*Mirror{}, reader: true, resting: map[string]time.Time{}, byRelay: map[string]bool{},
		recalled: map[string]platform.Changes{}, reads: map[string]bool{}, polled: map[string]time.Time{},
		neighbour: map[string]string{}, known: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Ready implements kernel.Service.
func (s *Service) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	ln, err := net.Listen("tcp", s.self.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen on [direct] relay = %s", s.self.Addr)
	}
	s.server = peer.Serve(ln, s.opts, peer.HandlerFunc(s.handle))
	s.meet(context.Background())
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.pool.Close()
	s.server.Close()
	return nil
}

// Mirror returns the handler for the watch of a prefix that hands on to next.
func (s *Service) Mirror(prefix string, next storewatch.Handler) *Mirror {
	m := NewMirror(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirrors[prefix] = m
	return m
}

// SetNodes takes the VMs that serve, this one among them.
func (s *Service) SetNodes(nodes []vmregistry.Node) {
	var cands []ownership.Candidate
	addrs := map[string]string{}
	for _, n := range nodes {
		addrs[n.Name] = n.Addr
		if n.Zone == s.self.Zone && n.Addr != "" {
			cands = append(cands, ownership.Candidate{Node: n.Name, Zone: n.Zone})
		}
	}
	route := relay.Source{Platform: true}
	if len(cands) >= leastZone {
		route = relay.SourceOf(s.self.Name, s.self.Zone, cands, relaysPerZone)
	}
	var relays []string
	for _, r := range route.Relays {
		relays = append(relays, addrs[r])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if route.Platform != s.reader || len(relays) != len(s.relays) {
		s.log.Info().Str("kind", "relay").Bool("direct", route.Platform).Strs("relays", relays).Int("zone_vms", len(cands)).Msg("source of the store's changes")
	}
	s.reader, s.relays = route.Platform, relays
	s.nodes, s.readers = nodes, readers(s.self.Name, nodes)
	select {
	case <-s.known:
	default:
		close(s.known)
	}
}

// Known is closed once the VMs are known.
func (s *Service) Known() <-chan struct{} { return s.known }

// ask asks the relays in turn; told is false when none can tell, or this VM is a
// relay itself.
func (s *Service) ask(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, told bool) {
	for _, addr := range s.sources(time.Now()) {
		reply, err := s.call(ctx, addr, req)
		if ctx.Err() != nil {
			return platform.Changes{}, ctx.Err(), true
		}
		switch {
		case err == nil && reply.GetStatus() == swpb.StoreStatus_STORE_STATUS_OK:
			s.relayAnswered(addr)
			return changes(reply), nil, true
		case err == nil && reply.GetStatus() == swpb.StoreStatus_STORE_STATUS_COMPACTED:
			return platform.Changes{}, platform.ErrCompacted, true
		}
		s.rest(addr, reply, err)
	}
	return platform.Changes{}, nil, false
}

// relayAnswered notes that a relay can tell.
func (s *Service) relayAnswered(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.resting, addr)
}

func (s *Service) call(ctx context.Context, addr string, req *swpb.StoreRequest) (*swpb.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMs())*time.Millisecond+silentAfter)
	defer cancel()
	env := &swpb.Envelope{Body: &swpb.Envelope_StoreRequest{StoreRequest: req}}
	reply, err := s.pool.Get(addr).Call(ctx, env)
	if err != nil {
		return nil, err
	}
	return reply.GetStoreReply(), nil
}

// sources returns the relays to ask now.
func (s *Service) sources(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader {
		return nil
	}
	var out []string
	for _, addr := range s.relays {
		if now.After(s.resting[addr]) {
			out = append(out, addr)
		}
	}
	return out
}

// rest leaves a relay alone for a while. The first of several failures in a row
// is logged.
func (s *Service) rest(addr string, reply *swpb.StoreReply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.resting[addr]; !known {
		s.log.Info().Str("kind", "relay").Str("relay", addr).Stringer("status", reply.GetStatus()).AnErr("cause", err).Msg("relay can't tell; asking the next, other VMs, or the store")
	}
	pause := restAfter
	if err == nil {
		pause = askRelaysAgain
	}
	s.resting[addr] = time.Now().Add(pause)
}
