package storerelay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Limits and intervals of requests to peers, the other readers of any zone. They
// may have the store while it is unavailable to this VM.
const (
	// peersPerQuery peers make it likely that one has the store when it is
	// unavailable to a third of the VMs.
	peersPerQuery = 3
	// peerTimeout bounds a query without a wait: a few trips between regions and a
	// new connection.
	peerTimeout = 500 * time.Millisecond
	// peerBackoff is the time between two queries that no peer could answer, as in
	// an outage of the store for all VMs.
	peerBackoff = 400 * time.Millisecond
	// storeHeadStart is how long a snapshot waits for the store before peers are
	// queried: several times the usual duration of a snapshot, which is below 50 ms.
	storeHeadStart = 300 * time.Millisecond
)

// SetSeeds sets the addresses, IP:port, of the VMs to query while no VM is known.
// It must be called before Start.
func (s *Service) SetSeeds(addrs []string) { s.seeds = addrs }

// OnNodesReported sets the function that receives the VMs that peers report: all
// VMs known to a peer, or the peer alone. It must be called before Start.
func (s *Service) OnNodesReported(fn func(nodes []vmregistry.Node, all bool)) { s.onNodes = fn }

// readers returns the addresses of the VMs other than self that read the store
// themselves, which are those that choose returns for each zone.
func readers(self string, nodes []vmregistry.Node, choose func(zone string, cands []ownership.Candidate) []string) []string {
	zones := map[string][]ownership.Candidate{}
	addrs := map[string]string{}
	for _, n := range nodes {
		if n.Addr != "" {
			addrs[n.Name] = n.Addr
			zones[n.Zone] = append(zones[n.Zone], ownership.Candidate{Node: n.Name, Zone: n.Zone})
		}
	}
	var out []string
	for zone, cands := range zones {
		for _, name := range choose(zone, cands) {
			if name != self {
				out = append(out, addrs[name])
			}
		}
	}
	return out
}

// zoneReaders returns the VMs of a zone that read the store themselves.
func zoneReaders(zone string, cands []ownership.Candidate) []string {
	if len(cands) >= minZoneVMs {
		return relay.Choose(zone, cands, relaysPerZone)
	}
	names := make([]string, 0, len(cands))
	for _, c := range cands {
		names = append(names, c.Node)
	}
	return names
}

// selectPeers returns up to peersPerQuery VMs to query for a prefix, chosen at random: readers,
// or seeds while no reader is known; and a substitute of the zone's relays while these say
// that the store doesn't answer them. It returns none within peerBackoff of a query
// that no peer could answer.
func (s *Service) selectPeers(prefix string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.peersFailedAt) < peerBackoff {
		return nil
	}
	out := s.peerAddrs(prefix)
	out = out[:min(peersPerQuery, len(out))]
	if n := len(s.substitutes); n > 0 && s.inKnownOutage(now) {
		out = append(out, s.substitutes[rand.IntN(n)])
	}
	return out
}

// peerAddrs returns the addresses of the other readers of a prefix, or of the seeds while no
// reader is known, in random order. s.mu is held.
func (s *Service) peerAddrs(prefix string) []string {
	out := slices.Clone(s.readersOf(prefix))
	if len(out) == 0 {
		for _, addr := range s.seeds {
			if addr != s.self.Addr {
				out = append(out, addr)
			}
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// readFromPeers polls the active peer and waits there for a change. Without an
// active peer, or if it fails, it queries several peers without a wait. ok is
// false if none of them has the store.
func (s *Service) readFromPeers(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, ok bool) {
	s.mu.Lock()
	active := s.activePeer[req.GetPrefix()]
	s.mu.Unlock()
	if active != "" && !req.GetSnapshot() {
		s.setIndirect(req.GetPrefix(), true) // so that no probe ends the wait
		reply, c, err := s.read(ctx, active, req)
		if err == nil && hasStore(reply) {
			return toReadResult(reply, c)
		}
		s.setIndirect(req.GetPrefix(), false)
		s.setActivePeer("", req.GetPrefix(), "peer no longer answers from the store")
		if ctx.Err() != nil {
			return platform.Changes{}, ctx.Err(), false
		}
	}
	addr, reply, asOf := s.queryPeers(ctx, &swpb.StoreRequest{
		Prefix: req.GetPrefix(), Snapshot: req.GetSnapshot(), After: req.GetAfter(), Recall: req.GetRecall(),
		Packed: true, Bases: s.bases(req.GetPrefix()),
	})
	if reply == nil {
		return platform.Changes{}, nil, false
	}
	s.reportNodes(reply.GetNodes())
	c, err = s.unpack(ctx, addr, req.GetPrefix(), reply)
	if err != nil {
		s.log.Warn().Err(err).Str("kind", "relay").Str("neighbour", addr).Str("prefix", req.GetPrefix()).Msg("state of a peer can't be read")
		return platform.Changes{}, nil, false
	}
	if !hasStore(reply) {
		s.mu.Lock()
		s.lastKnown[req.GetPrefix()] = c
		s.mu.Unlock()
		return platform.Changes{}, nil, false
	}
	c.AsOf = asOf
	s.setIndirect(req.GetPrefix(), true)
	s.setActivePeer(addr, req.GetPrefix(), "store unavailable")
	return toReadResult(reply, c)
}

// queryPeers queries several peers at once. It returns the first reply from a
// peer that has the store, or else the last known state with the highest revision.
func (s *Service) queryPeers(ctx context.Context, req *swpb.StoreRequest) (addr string, reply *swpb.StoreReply, asOf time.Duration) {
	addrs := s.selectPeers(req.GetPrefix(), time.Now())
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	type answer struct {
		addr  string
		reply *swpb.StoreReply
		asOf  time.Duration
	}
	answers := make(chan answer, len(addrs))
	for _, addr := range addrs {
		go func() {
			reply, asOf, err := s.ask(ctx, addr, proto.CloneOf(req))
			if err != nil {
				s.log.Debug().Err(err).Str("neighbour", addr).Msg("peer did not answer a store request")
			}
			answers <- answer{addr, reply, asOf}
		}()
	}
	var best answer
	for range addrs {
		a := <-answers
		switch {
		case hasStore(a.reply):
			return a.addr, a.reply, a.asOf
		case a.reply.GetStatus() == swpb.StoreStatus_STORE_STATUS_RECALLED && a.reply.GetRevision() > best.reply.GetRevision():
			best = a
		}
	}
	if len(addrs) > 0 {
		s.mu.Lock()
		s.peersFailedAt = time.Now()
		s.mu.Unlock()
	}
	return best.addr, best.reply, 0
}

// requestNodes requests the lists of VMs of some peers. Registrations may have
// expired during an outage of the store, and fleet-wide limits must not be divided
// among the remaining VMs only.
func (s *Service) requestNodes(ctx context.Context) {
	for _, addr := range s.selectPeers("", time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			reply, _, err := s.ask(ctx, addr, &swpb.StoreRequest{Snapshot: true, Asker: toNode(s.self)})
			if err != nil {
				s.log.Debug().Err(err).Str("neighbour", addr).Msg("peer did not answer the request for the VMs that it knows")
				return
			}
			s.reportNodes(reply.GetNodes())
		}()
	}
}

// hasStore reports whether the sender of a reply has read the store itself.
func hasStore(r *swpb.StoreReply) bool {
	return r.GetStatus() == swpb.StoreStatus_STORE_STATUS_OK || r.GetStatus() == swpb.StoreStatus_STORE_STATUS_COMPACTED
}

// toReadResult returns what a reply means for which hasStore is true, with its changes.
func toReadResult(r *swpb.StoreReply, c platform.Changes) (platform.Changes, error, bool) {
	if r.GetStatus() == swpb.StoreStatus_STORE_STATUS_COMPACTED {
		return platform.Changes{}, platform.ErrCompacted, true
	}
	return c, nil, true
}

// reportNodes passes on the VMs of a peer's reply, or the sender of a request. A
// reply lists the VMs known to a peer and the peer itself: a reply with one VM
// comes from a peer without a list of VMs, a longer one is complete.
func (s *Service) reportNodes(reported []*swpb.StoreNode) {
	var nodes []vmregistry.Node
	for _, n := range reported {
		if n.GetName() != "" {
			nodes = append(nodes, vmregistry.Node{Name: n.GetName(), Zone: n.GetZone(), Addr: n.GetAddr()})
		}
	}
	if len(nodes) > 0 && s.onNodes != nil {
		s.onNodes(nodes, len(nodes) > 1)
	}
}

func toNode(n vmregistry.Node) *swpb.StoreNode {
	return &swpb.StoreNode{Name: n.Name, Zone: n.Zone, Addr: n.Addr}
}

// setActivePeer records the peer that a prefix is read from, "" for none, and logs
// a change.
func (s *Service) setActivePeer(addr, prefix, why string) {
	s.mu.Lock()
	before := s.activePeer[prefix]
	s.activePeer[prefix] = addr
	s.mu.Unlock()
	if before != addr {
		s.log.Info().Str("kind", "relay").Str("neighbour", addr).Str("before", before).Str("prefix", prefix).Str("why", why).Msg("peer read in place of the store changed")
	}
}

func (s *Service) hasLastKnown(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.lastKnown[prefix]
	return ok
}

// LastKnown implements storewatch.Fallback. It returns, once, the state that peers
// had before the store became unavailable to them, if the last snapshot request
// of the prefix found one.
func (s *Service) LastKnown(prefix string) (platform.Changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.lastKnown[prefix]
	delete(s.lastKnown, prefix)
	return c, ok
}
