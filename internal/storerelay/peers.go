package storerelay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The constants of asking neighbours, other VMs that may have the store while
// this one has lost it.
const (
	// neighboursAsked at once make it likely that one has the store when a
	// third of the VMs have lost it.
	neighboursAsked = 3
	// neighbourTimeout bounds a question without a wait: a few ways across
	// regions and a new connection.
	neighbourTimeout = 500 * time.Millisecond
	// neighbourRest is the time between two questions that nobody could answer,
	// as in an outage for all.
	neighbourRest = 400 * time.Millisecond
	// patience is how long a first reading waits for the store alone: several
	// times what a reading takes (under 50 ms on played days).
	patience = 300 * time.Millisecond
)

// SetSeeds gives the addresses of VMs to ask while none is known by name, IP:port.
// It is called before Start.
func (s *Service) SetSeeds(addrs []string) { s.seeds = addrs }

// OnNodesReported sets what is told of other VMs: all that a neighbour knows, or one that
// has been met. It is called before Start.
func (s *Service) OnNodesReported(tell func(nodes []vmregistry.Node, all bool)) { s.learned = tell }

// readers returns the addresses of the VMs but self that read the store
// themselves.
func readers(self string, nodes []vmregistry.Node) []string {
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
		names := make([]string, 0, len(cands))
		for _, c := range cands {
			names = append(names, c.Node)
		}
		if len(cands) >= leastZone {
			names = relay.Choose(zone, cands, relaysPerZone)
		}
		for _, name := range names {
			if name != self {
				out = append(out, addrs[name])
			}
		}
	}
	return out
}

// neighbours returns some VMs to ask, or none soon after nobody could answer.
func (s *Service) neighbours(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.unanswered) < neighbourRest {
		return nil
	}
	out := slices.Clone(s.readers)
	if len(out) == 0 {
		for _, addr := range s.seeds {
			if addr != s.self.Addr {
				out = append(out, addr)
			}
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(neighboursAsked, len(out))]
}

// askNeighbours asks the neighbour that told last, and waits there for a change,
// else several at once without waiting.
func (s *Service) askNeighbours(ctx context.Context, req *swpb.StoreRequest) (c platform.Changes, err error, told bool) {
	s.mu.Lock()
	last := s.neighbour[req.GetPrefix()]
	s.mu.Unlock()
	if last != "" && !req.GetSnapshot() {
		s.setSource(req.GetPrefix(), true) // so that no probe ends the wait
		reply, err := s.call(ctx, last, req)
		if err == nil && tells(reply) {
			return take(reply)
		}
		s.setSource(req.GetPrefix(), false)
		s.setNeighbour("", req.GetPrefix(), "it can't tell any more")
		if ctx.Err() != nil {
			return platform.Changes{}, ctx.Err(), false
		}
	}
	addr, reply := s.survey(ctx, &swpb.StoreRequest{Prefix: req.GetPrefix(), Snapshot: req.GetSnapshot(), After: req.GetAfter(), Recall: req.GetRecall()})
	if reply == nil {
		return platform.Changes{}, nil, false
	}
	s.learn(reply.GetNodes())
	if !tells(reply) {
		s.mu.Lock()
		s.recalled[req.GetPrefix()] = changes(reply)
		s.mu.Unlock()
		return platform.Changes{}, nil, false
	}
	s.setSource(req.GetPrefix(), true)
	s.setNeighbour(addr, req.GetPrefix(), "the store is lost")
	return take(reply)
}

// survey asks several neighbours at once. The first that has the store wins,
// else the one that recalls the most.
func (s *Service) survey(ctx context.Context, req *swpb.StoreRequest) (string, *swpb.StoreReply) {
	addrs := s.neighbours(time.Now())
	ctx, cancel := context.WithTimeout(ctx, neighbourTimeout)
	defer cancel()
	type answer struct {
		addr  string
		reply *swpb.StoreReply
	}
	answers := make(chan answer, len(addrs))
	for _, addr := range addrs {
		go func() {
			reply, err := s.call(ctx, addr, req)
			if err != nil {
				s.log.Debug().Err(err).Str("neighbour", addr).Msg("neighbour can't be asked")
			}
			answers <- answer{addr, reply}
		}()
	}
	var best answer
	for range addrs {
		a := <-answers
		switch {
		case tells(a.reply):
			return a.addr, a.reply
		case a.reply.GetStatus() == swpb.StoreStatus_STORE_STATUS_RECALLED && a.reply.GetRevision() > best.reply.GetRevision():
			best = a
		}
	}
	if len(addrs) > 0 {
		s.mu.Lock()
		s.unanswered = time.Now()
		s.mu.Unlock()
	}
	return best.addr, best.reply
}

// meet asks some VMs which others they know: the entries of some may have lapsed
// in an outage, and bounds must not be shared out among the rest alone.
func (s *Service) meet(ctx context.Context) {
	for _, addr := range s.neighbours(time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, neighbourTimeout)
			defer cancel()
			reply, err := s.call(ctx, addr, &swpb.StoreRequest{Snapshot: true, Asker: toNode(s.self)})
			if err != nil {
				s.log.Debug().Err(err).Str("neighbour", addr).Msg("neighbour can't be asked for the VMs that it knows")
				return
			}
			s.learn(reply.GetNodes())
		}()
	}
}

// tells reports whether a reply comes from a VM that has the store.
func tells(r *swpb.StoreReply) bool {
	return r.GetStatus() == swpb.StoreStatus_STORE_STATUS_OK || r.GetStatus() == swpb.StoreStatus_STORE_STATUS_COMPACTED
}

// take turns the reply of a neighbour that has the store into changes.
func take(r *swpb.StoreReply) (platform.Changes, error, bool) {
	if r.GetStatus() == swpb.StoreStatus_STORE_STATUS_COMPACTED {
		return platform.Changes{}, platform.ErrCompacted, true
	}
	return changes(r), nil, true
}

// learn takes the VMs that a neighbour knows, or one that was met: a VM that
// knows no other tells of itself alone, and once more if it knows them.
func (s *Service) learn(known []*swpb.StoreNode) {
	var nodes []vmregistry.Node
	for _, n := range known {
		if n.GetName() != "" {
			nodes = append(nodes, vmregistry.Node{Name: n.GetName(), Zone: n.GetZone(), Addr: n.GetAddr()})
		}
	}
	if len(nodes) > 0 && s.learned != nil {
		s.learned(nodes, len(nodes) > 1)
	}
}

func toNode(n vmregistry.Node) *swpb.StoreNode {
	return &swpb.StoreNode{Name: n.Name, Zone: n.Zone, Addr: n.Addr}
}

// setNeighbour notes which VM tells of a prefix, "" for none, and logs a change.
func (s *Service) setNeighbour(addr, prefix, why string) {
	s.mu.Lock()
	before := s.neighbour[prefix]
	s.neighbour[prefix] = addr
	s.mu.Unlock()
	if before != addr {
		s.log.Info().Str("kind", "relay").Str("neighbour", addr).Str("before", before).Str("prefix", prefix).Str("why", why).Msg("neighbour read in place of the store")
	}
}

func (s *Service) canRecall(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.recalled[prefix]
	return ok
}

// Recall implements storewatch.Recaller: what others knew before all lost the
// store, as they told while it was to be read.
func (s *Service) Recall(prefix string) (platform.Changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.recalled[prefix]
	delete(s.recalled, prefix)
	return c, ok
}
