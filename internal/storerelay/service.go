package storerelay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirewall/sapphirewall/internal/boottime"
	"github.com/sapphirewall/sapphirewall/internal/decide/apikey"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storepack"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "store-relay"

// Limits and intervals of relaying.
const (
	// relaysPerZone is two, so that the failure of one relay does not cause a call
	// to the store from every VM.
	relaysPerZone = 2
	// substitutesPerZone is how many further VMs of a zone call the store while it doesn't
	// answer the relays. It may turn away some VMs and serve the others.
	substitutesPerZone = 2
	// minZoneVMs is the number of VMs from which a zone uses relays. In a smaller
	// zone they save few calls and add a hop to every change.
	minZoneVMs = 6
	// vmListTimeout bounds the wait of the first read for the list of VMs.
	vmListTimeout = 2500 * time.Millisecond
	// relayPollWait bounds the wait of one poll of a relay. Polls are cheap, and a
	// VM switches to changed relays only between polls.
	relayPollWait = 5 * time.Second
	// stallTimeout is how long a relay with an outstanding poll may send no byte
	// before the poll is abandoned: about a third of the time within which a
	// change is due at every VM.
	stallTimeout = 1200 * time.Millisecond
	// firstWatchWait is the wait of the first watch call to the store after the
	// relays have failed. A call that waits may miss changes that were made before
	// it began and whose history is compacted; a call that returns at once reports
	// the compaction.
	firstWatchWait = time.Millisecond
	// probeInterval is the time between two probes of the store. A watch call that
	// was waiting when the store stopped answering gets no answer after the store
	// recovers either, so an outage must not fit between two probes: it has to be
	// detected within a fraction of the time in which changes are due.
	probeInterval = time.Second
	// outageProbeInterval replaces probeInterval while the store is unavailable:
	// a prompt recovery is worth a few more calls, above all on a VM that has no
	// state yet.
	outageProbeInterval = 200 * time.Millisecond
	// probeTimeout is far above the time that a slow store takes for a read.
	probeTimeout = 800 * time.Millisecond
	// unreachableBackoff is the pause before the next poll of a relay that can't be
	// reached, and noStoreBackoff of one for which the store is unavailable. A watch
	// that no VM can answer also waits for noStoreBackoff before it tries again.
	unreachableBackoff = 3 * time.Second
	noStoreBackoff     = 250 * time.Millisecond
	// relayTries is how often a VM asks its relays for a snapshot before it calls the
	// store, and relayTryInterval the time between two tries: together a fifth of the
	// time in which changes are due.
	relayTries       = 6
	relayTryInterval = 100 * time.Millisecond
	// pollInterval is the time between two calls to the store by a VM that is not a
	// reader, while no other VM can answer: a third of the time in which changes
	// are due.
	pollInterval = time.Second
	// listWait is how long a VM that has started in an outage waits for the list of the VMs
	// before it watches the store itself. Its state is up to date when the wait begins.
	listWait = time.Second
	// outageWordTime is how long a relay's word holds that the store doesn't answer it.
	outageWordTime = 2 * time.Second
	// standInWait bounds the wait of a watch call in place of the relays, after which these
	// are asked again.
	standInWait = time.Second
)

// Store is the part of the platform's store that a relay uses.
type Store interface {
	platform.Watcher
	// Probe makes the cheapest read that the store offers.
	Probe(ctx context.Context) error
	// Era returns the highest era of the store that this VM knows.
	Era() uint64
	// Heard returns when bytes of the store last came in. A large reply takes seconds on a
	// slow link, in which the store is not away.
	Heard() time.Time
}

// Service is a platform.Watcher that reads the store directly or through other
// VMs, and answers other VMs that read through this one.
type Service struct {
	store   Store
	stamped platform.Watcher // store, with the instants of its calls
	self    vmregistry.Node
	pool    *peer.Pool // for short calls
	bulk    *peer.Pool // for what is read from the store, of any size
	opts    peer.Options
	log     zerolog.Logger

	// single has the prefixes that one relay of each zone reads, see ReadOnce.
	single  []string
	listen  string   // address to listen on
	seeds   []string // addresses of VMs to query while none is known
	onNodes func(nodes []vmregistry.Node, all bool)
	// onRolloutReport answers the reports of other VMs on rollouts.
	onRolloutReport func(*swpb.RolloutReport) *swpb.RolloutGuidance
	// onLimits answers the limits of upstreams that other VMs report.
	onLimits func(*swpb.LimitExchange) *swpb.LimitExchange
	// onEvidence answers what other VMs have observed of replicas that reject requests.
	onEvidence func(*swpb.EvidenceExchange) *swpb.EvidenceExchange
	// onUsage answers the counts of requests that other VMs send.
	onUsage func(*swpb.UsageExchange) *swpb.UsageExchange
	// onCall answers calls of other kinds.
	onCall func(ctx context.Context, from peer.Identity, env *swpb.Envelope) *swpb.Envelope

	bounds map[string]apikey.Bound // by prefix; set before Start
	keeps  func(known, now platform.Entry) bool

	packs     storepack.Cache
	transfers *transfers

	mu          sync.Mutex // guards the fields below
	mirrors     map[string]*Mirror
	reader      bool                 // this VM reads the store
	relays      []string             // addresses of the relays to poll, if it doesn't
	retryAt     map[string]time.Time // by relay address, or by retryKey: no poll before
	shared      map[string]sources   // by prefix that one relay of each zone reads
	nodes       []vmregistry.Node    // VMs that serve; empty: not known
	readers     []string             // addresses of the other VMs that read the store
	unavailable bool                 // the store did not answer the last call
	lastPoll    map[string]time.Time // by prefix: last call to the store while this VM was not a reader
	outageTold  time.Time            // when a relay last said that the store doesn't answer it
	zoneVMs     int                  // VMs of this zone
	substitute  bool                 // this VM is a substitute of the zone's relays
	substitutes []string             // addresses of the others
	// authoritative has the prefixes that were last read from the store itself,
	// without a failure since: other VMs get answers only for these.
	authoritative map[string]bool
	// activePeer is by prefix the address of the peer that is polled in place of
	// the store; peersFailedAt is when no peer could answer.
	activePeer    map[string]string
	peersFailedAt time.Time
	lastKnown     map[string]platform.Changes // by prefix: state of peers from before the outage
	indirect      map[string]bool             // by prefix: last read through a relay or a peer
	probeMu       sync.Mutex                  // held during a probe, for probedAt and probeErr; locked before mu
	probedAt      time.Time
	probeErr      error         // result of the last probe
	nodesKnown    chan struct{} // closed once the VMs are known, or known to be unknown
	listed        chan struct{} // closed once there is a list of the VMs
	onAvailable   func()        // called when the store answers a VM that has no such list
	server        *peer.Server
}

// Link is the VM's link.
type Link struct {
	Wrap   func(net.Conn) net.Conn // of connections to other VMs; nil: none
	Window int                     // bytes that may be on their way to them; 0: not known
}

// New returns the relay service of the VM self in a fleet.
func New(store Store, fleet string, self vmregistry.Node, link Link, log zerolog.Logger) *Service {
	o := peer.Options{
		Self:    peer.Identity{Fleet: fleet, Node: self.Name, Zone: self.Zone, Role: peer.RoleControl, Incarnation: uint64(time.Now().UnixNano())},
		Streams: 1, StallTimeout: stallTimeout, Wrap: link.Wrap,
	}
	return &Service{
		listen: self.Addr, store: store, stamped: storewatch.Stamped(store), bounds: map[string]apikey.Bound{}, self: self, opts: o, pool: peer.NewPool(o), bulk: peer.NewPool(o), transfers: newTransfers(link.Window), log: log,
		mirrors: map[string]*Mirror{}, reader: true, retryAt: map[string]time.Time{}, indirect: map[string]bool{},
		lastKnown: map[string]platform.Changes{}, authoritative: map[string]bool{}, lastPoll: map[string]time.Time{},
		activePeer: map[string]string{}, nodesKnown: make(chan struct{}), listed: make(chan struct{}), onAvailable: func() {},
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
	ln, err := net.Listen("tcp", s.listen)
	if err != nil {
		return eris.Wrapf(err, "listen for other VMs on %s, see [direct] relay and relay-listen", s.listen)
	}
	s.server = peer.Serve(ln, s.opts, peer.HandlerFunc(s.handle))
	s.requestNodes(context.Background())
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.pool.Close()
	s.bulk.Close()
	s.server.Close()
	return nil
}

// ListenOn sets the address to listen on, if it isn't the one that other VMs use. It must
// be called before Start.
func (s *Service) ListenOn(addr string) { s.listen = addr }

// Mirror returns the handler for the watch of a prefix. It passes everything on
// to next and keeps the state for other VMs.
func (s *Service) Mirror(prefix string, next storewatch.Handler) *Mirror {
	m := NewMirror(next)
	m.bound, m.keeps = s.bounds[prefix], s.keeps
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirrors[prefix] = m
	return m
}

// Follow watches a prefix until ctx ends and passes the changes on to h. The first
// read waits until the other VMs are known, so that it can go through a relay.
func (s *Service) Follow(ctx context.Context, prefix string, h storewatch.Handler) {
	m := s.Mirror(prefix, h)
	timeout := time.NewTimer(vmListTimeout)
	defer timeout.Stop()
	select {
	case <-s.nodesKnown:
	case <-timeout.C:
	case <-ctx.Done():
	}
	storewatch.New(s, prefix, m, s.log).Run(ctx)
}

// SetNodes sets the VMs that serve, including this one.
func (s *Service) SetNodes(nodes []vmregistry.Node) {
	var cands []ownership.Candidate
	addrs := map[string]string{}
	for _, n := range nodes {
		addrs[n.Name] = n.Addr
		if n.Zone == s.self.Zone && n.Addr != "" {
			cands = append(cands, ownership.Candidate{Node: n.Name, Zone: n.Zone})
		}
	}
	source := relay.Source{Platform: true}
	if len(cands) >= minZoneVMs {
		source = relay.SourceOf(s.self.Name, s.self.Zone, cands, relaysPerZone)
	}
	var relays, substitutes []string
	for _, r := range source.Relays {
		relays = append(relays, addrs[r])
	}
	substitute := false
	for i, name := range relay.Choose(s.self.Zone, cands, relaysPerZone+substitutesPerZone) {
		if name == s.self.Name {
			substitute = i >= relaysPerZone
		} else if i >= relaysPerZone {
			substitutes = append(substitutes, addrs[name])
		}
	}
	shared := sharedSources(s.self, nodes, s.single)
	s.mu.Lock()
	defer s.mu.Unlock()
	if source.Platform != s.reader || len(relays) != len(s.relays) {
		s.log.Info().Str("kind", "relay").Bool("direct", source.Platform).Strs("relays", relays).Int("zone_vms", len(cands)).Msg("source of store changes selected")
	}
	s.reader, s.relays, s.zoneVMs = source.Platform, relays, len(cands)
	s.substitute, s.substitutes = substitute && !source.Platform, substitutes
	s.nodes, s.readers, s.shared = nodes, readers(s.self.Name, nodes, zoneReaders), shared
	if len(nodes) == 0 {
		s.unavailable = true // else there would be a list
	} else {
		closeOnce(s.listed)
	}
	closeOnce(s.nodesKnown)
}

// closeOnce closes a channel unless it is closed. The caller excludes other calls.
func closeOnce(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// OnAvailable sets a function that is called when the store answers a VM that has no list
// of the VMs. It must be called before Start.
func (s *Service) OnAvailable(fn func()) { s.onAvailable = fn }

// NodesKnown is closed once the VMs are known.
func (s *Service) NodesKnown() <-chan struct{} { return s.nodesKnown }

// readFromRelays sends a request to the relays in turn until one answers. ok is
// false if none does, or if this VM reads the store itself.
func (s *Service) readFromRelays(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, ok bool) {
	for _, addr := range s.availableRelays(req.GetPrefix(), time.Now()) {
		reply, c, err := s.read(ctx, addr, req)
		if ctx.Err() != nil {
			return platform.Changes{}, ctx.Err(), true
		}
		switch {
		case err == nil && reply.GetStatus() == swpb.StoreStatus_STORE_STATUS_OK && (c.AsOf > 0 || s.bounds[req.GetPrefix()] == 0):
			s.clearBackoff(addr, req.GetPrefix())
			return c, nil, true
		case err == nil && reply.GetStatus() == swpb.StoreStatus_STORE_STATUS_COMPACTED:
			return platform.Changes{}, platform.ErrCompacted, true
		}
		s.backOff(addr, req.GetPrefix(), reply, err)
	}
	return platform.Changes{}, nil, false
}

// clearBackoff records that a relay has answered.
func (s *Service) clearBackoff(addr, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.retryAt, addr)
	delete(s.retryAt, retryKey(addr, prefix))
}

// read sends a request to another VM and returns its reply with the changes in it. What
// can't be unpacked is read again whole.
func (s *Service) read(ctx context.Context, addr string, req *swpb.StoreRequest) (*swpb.StoreReply, platform.Changes, error) {
	begin := time.Now()
	packed := proto.CloneOf(req)
	packed.Packed, packed.Bases = true, s.bases(req.GetPrefix())
	reply, asOf, err := s.ask(ctx, addr, packed)
	if err != nil {
		return nil, platform.Changes{}, err
	}
	c, err := s.unpack(ctx, addr, req.GetPrefix(), reply)
	if errors.Is(err, storepack.ErrInvalid) {
		s.log.Warn().Err(err).Str("kind", "relay").Str("relay", addr).Str("prefix", req.GetPrefix()).Msg("packed changes can't be used; reading them whole")
		whole := proto.CloneOf(req)
		whole.WaitMs = 0
		if reply, asOf, err = s.ask(ctx, addr, whole); err == nil {
			c = toChanges(reply)
		}
	}
	s.logLarge(addr, req.GetPrefix(), c, begin)
	c.AsOf = asOf
	return reply, c, err
}

// bases returns the large values that this VM has under a prefix.
func (s *Service) bases(prefix string) []*swpb.StoreBase {
	s.mu.Lock()
	m := s.mirrors[prefix]
	s.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.bases()
}

// ask sends a request to another VM. It returns the reply with the instant of package
// boottime as of which the reply is confirmed; 0: not stated. The age that the other VM
// states counts from the moment before the request was sent, which is on the safe side.
func (s *Service) ask(ctx context.Context, addr string, req *swpb.StoreRequest) (reply *swpb.StoreReply, asOf time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMs())*time.Millisecond+stallTimeout)
	defer cancel()
	env := &swpb.Envelope{Body: &swpb.Envelope_StoreRequest{StoreRequest: req}}
	sent := boottime.Now()
	answer, err := s.bulk.Get(addr).Call(ctx, env)
	if err != nil {
		return nil, 0, err
	}
	reply = answer.GetStoreReply()
	if age := reply.GetConfirmedAgeUs(); age > 0 && age <= uint64(sent/time.Microsecond) {
		asOf = sent - time.Duration(age)*time.Microsecond
	}
	return reply, asOf, nil
}

// availableRelays returns the relays that may be polled for a prefix now.
func (s *Service) availableRelays(prefix string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, addr := range s.relaysFor(prefix) {
		if now.After(s.retryAt[addr]) && now.After(s.retryAt[retryKey(addr, prefix)]) {
			out = append(out, addr)
		}
	}
	return out
}

// backOff keeps a relay from being polled for a while. Only the first of several
// failures in a row is logged.
func (s *Service) backOff(addr, prefix string, reply *swpb.StoreReply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := addr
	if _, shared := s.shared[prefix]; shared && err == nil {
		key = retryKey(addr, prefix) // it may read the other prefixes
	}
	if _, failing := s.retryAt[key]; !failing {
		s.log.Info().Str("kind", "relay").Str("relay", addr).Stringer("status", reply.GetStatus()).AnErr("cause", err).Msg("relay has no current state; trying the next relay, other VMs or the store")
	}
	pause := unreachableBackoff
	if err == nil {
		pause = noStoreBackoff
	}
	if reply.GetStoreUnavailable() {
		s.hearOfOutage(time.Now())
	}
	s.retryAt[key] = time.Now().Add(pause)
}
