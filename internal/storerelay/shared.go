package storerelay

import (
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
)

// standbyWait bounds the wait of a watch call by a relay in place of the one that reads the
// prefix, after which that one is asked again. Each call has a cost, and the other relay
// may be away until its registration has expired.
const standbyWait = relayPollWait

// sources is where a prefix is read from that one relay of each zone reads.
type sources struct {
	relays  []string // addresses of the relays that this VM polls, the reader first; none: it is the reader
	readers []string // addresses of the VMs to ask in an outage: the readers of other zones, the other relays of this one
}

// ReadOnce sets the prefixes that only one of the relays of a zone reads from the store. The
// others poll that one and read the store when it fails. It suits prefixes that change
// often, since a change costs a call by each reader; a large value is better sent to the
// VMs of a zone by both relays. It must be called before Start.
func (s *Service) ReadOnce(prefixes ...string) { s.single = prefixes }

// sharedSources returns, by prefix, where the VM self reads a prefix from that one relay of
// each zone reads. It returns none if the zone of self has too few VMs for relays, or
// too many for one reader.
func sharedSources(self vmregistry.Node, nodes []vmregistry.Node, prefixes []string) map[string]sources {
	out := map[string]sources{}
	var cands []ownership.Candidate
	addrs := map[string]string{}
	for _, n := range nodes {
		if n.Zone == self.Zone && n.Addr != "" {
			cands = append(cands, ownership.Candidate{Node: n.Name, Zone: n.Zone})
			addrs[n.Name] = n.Addr
		}
	}
	if !shares(cands) {
		return out
	}
	for _, prefix := range prefixes {
		order := relay.ReaderOrder(self.Zone, prefix, zoneReaders(self.Zone, cands))
		if i := slices.Index(order, self.Name); i >= 0 {
			order = order[:i] // each relay polls those before it
		}
		var from sources
		for _, name := range order {
			from.relays = append(from.relays, addrs[name])
		}
		// All relays of this zone count: another one may have the store when the reader has not.
		from.readers = readers(self.Name, nodes, func(zone string, cands []ownership.Candidate) []string {
			names := zoneReaders(zone, cands)
			if zone != self.Zone && shares(cands) {
				names = relay.ReaderOrder(zone, prefix, names)[:1]
			}
			return names
		})
		out[prefix] = from
	}
	return out
}

// shares reports whether the relays of a zone share the prefixes of ReadOnce.
func shares(cands []ownership.Candidate) bool {
	return len(cands) >= minZoneVMs && len(cands) <= relay.MaxSharedNodes
}

// relaysFor returns the relays that this VM polls for a prefix, none if it reads the prefix
// from the store. s.mu is held.
func (s *Service) relaysFor(prefix string) []string {
	if from, ok := s.shared[prefix]; ok {
		return from.relays
	}
	return s.relays
}

// readersOf returns the other VMs that read a prefix from the store. s.mu is held.
func (s *Service) readersOf(prefix string) []string {
	if from, ok := s.shared[prefix]; ok {
		return from.readers
	}
	return s.readers
}

// pollsRelays reports whether this VM reads a prefix through relays while they answer.
func (s *Service) pollsRelays(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.relaysFor(prefix)) > 0
}

// readerWait returns how long a relay may wait in a watch call to the store: less if another
// relay is the reader of the prefix.
func (s *Service) readerWait(prefix string, wait time.Duration) time.Duration {
	if s.pollsRelays(prefix) {
		return min(wait, standbyWait)
	}
	return wait
}

// retryKey is the key of the time before which a relay isn't polled for one prefix.
func retryKey(addr, prefix string) string { return addr + " " + prefix }
