package deployment

import (
	"fmt"
	"strings"
	"time"
)

// Pool describes a pool whose upstreams are distributed over the zones.
type Pool struct {
	Name        string
	Shards      int
	Replicas    int // of each shard, in successive zones; the zone of the first changes from shard to shard
	Slots       int
	Connections int
	ConnectCost time.Duration
	ColdSlots   int
	Version     string // "": v1
}

// AddrFunc returns the address for the next upstream in a zone.
type AddrFunc func(zone string) (string, error)

// RenderTables returns the text of a tables file: the routes text unchanged, then
// a section for each pool. addr assigns the upstreams their addresses.
func RenderTables(routes string, pools []Pool, zones []string, addr AddrFunc) ([]byte, error) {
	var b strings.Builder
	b.WriteString(strings.TrimSpace(routes) + "\n")
	for _, p := range pools {
		if err := renderPool(&b, p, zones, addr); err != nil {
			return nil, err
		}
	}
	return []byte(b.String()), nil
}

func renderPool(b *strings.Builder, p Pool, zones []string, addr AddrFunc) error {
	version := p.Version
	if version == "" {
		version = "v1"
	}
	fmt.Fprintf(b, "\n[pool %s]\nshards = %d\nslots = %d\nconnections = %d\nconnect-cost = %v\ncold-slots = %d\n",
		p.Name, p.Shards, p.Slots, p.Connections, p.ConnectCost, p.ColdSlots)
	for shard := range p.Shards {
		for n := range p.Replicas {
			zone := zones[(shard+n)%len(zones)]
			a, err := addr(zone)
			if err != nil {
				return err
			}
			fmt.Fprintf(b, "upstream.%s-%d-%d = %s zone=%s shard=%d version=%s\n", p.Name, shard, n, a, zone, shard, version)
		}
	}
	return nil
}
