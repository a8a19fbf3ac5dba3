package tables

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
)

// upstreamPrefix is the prefix of the keys of upstreams: "upstream.ID".
const upstreamPrefix = "upstream."

// upstreamSyntax describes the value of an upstream's key.
const upstreamSyntax = "IP:port zone=NAME shard=NUMBER version=NAME"

// Defaults and limits of durations.
const (
	defaultDeadline    = 300 * time.Millisecond
	minDeadline        = time.Millisecond
	MaxDeadline        = 10 * time.Minute // of a route
	defaultConnectCost = time.Millisecond
	maxConnectCost     = 10 * time.Second
)

func (p *parser) readPool(sec *inifile.Section) {
	r := inifile.NewReader(sec, p.errs)
	pool := &Pool{
		Name:        sec.Name,
		Shards:      r.Int("shards", 1, 1, maxShards),
		Slots:       r.Int("slots", 1, 1, maxSlots),
		Connections: r.Int("connections", 1, 1, maxConnections),
		ConnectCost: r.Duration("connect-cost", defaultConnectCost, 0, maxConnectCost),
		ColdSlots:   r.Int("cold-slots", 1, 1, maxSlots),
		Discovered:  r.Bool("discovered", false),
		ColdRate:    float64(r.Int("cold-rate", 0, 0, maxSlots)),
		ColdTime:    r.Duration("cold-time", 0, 0, MaxDeadline),
	}
	for _, key := range []string{"shards", "slots", "connections"} {
		r.Required(key, "a whole number")
	}
	if pool.ColdSlots > pool.Slots {
		r.Fail("cold-slots", fmt.Sprintf("%d is more than slots = %d", pool.ColdSlots, pool.Slots), "write at most the value of slots")
	}
	draining := r.List("leaving")
	pool.Rollout = readRollout(r)
	p.readUpstreams(r, sec, pool)
	markDraining(r, pool, draining)
	checkRollout(r, pool)
	r.Finish()
	p.tables.Pools[pool.Name] = pool
}

// readUpstreams reads the "upstream.ID" keys. IDs and addresses must be unique
// over all pools, because a single owner sets the limit of a replica.
func (p *parser) readUpstreams(r *inifile.Reader, sec *inifile.Section, pool *Pool) {
	covered := map[int]bool{}
	for _, k := range sec.Keys {
		id, ok := strings.CutPrefix(k.Name, upstreamPrefix)
		if !ok {
			continue
		}
		r.Lookup(k.Name)
		u, ok := readUpstream(r, k, id, pool.Shards)
		if !ok || !p.reserveUpstream(r, sec, k, u) {
			continue
		}
		covered[u.Shard] = true
		p.zones[u.Zone] = true
		pool.Upstreams = append(pool.Upstreams, u)
	}
	sort.Slice(pool.Upstreams, func(i, j int) bool { return pool.Upstreams[i].ID < pool.Upstreams[j].ID })
	for shard := range pool.Shards {
		if !covered[shard] && !pool.Discovered {
			r.Fail("", fmt.Sprintf("shard %d has no upstream", shard), fmt.Sprintf("add %sID = %s", upstreamPrefix, upstreamSyntax))
			return
		}
	}
}

// reserveUpstream records the ID and address of an upstream. It reports a problem
// and returns false if another upstream has one of them.
func (p *parser) reserveUpstream(r *inifile.Reader, sec *inifile.Section, k inifile.Key, u Upstream) bool {
	if first, ok := p.upstreams[u.ID]; ok {
		r.Fail(k.Name, fmt.Sprintf("duplicate upstream %q, first in %s", u.ID, first), "give each upstream a unique ID")
		return false
	}
	if first, ok := p.addrs[u.Addr]; ok {
		r.Fail(k.Name, fmt.Sprintf("address %s is also the address of upstream %q", u.Addr, first), "list each address once")
		return false
	}
	p.upstreams[u.ID] = fmt.Sprintf("[%s] of %s:%d", sec.Header(), sec.File, k.Line)
	p.addrs[u.Addr] = u.ID
	return true
}

// readUpstream parses a value such as "IP:port zone=a shard=0 version=v1".
func readUpstream(r *inifile.Reader, k inifile.Key, id string, shards int) (Upstream, bool) {
	fail := func(message string) (Upstream, bool) {
		r.Fail(k.Name, message, "write "+upstreamSyntax)
		return Upstream{}, false
	}
	if !validName(id) {
		r.Fail(k.Name, fmt.Sprintf("bad upstream ID %q", id), nameRule)
		return Upstream{}, false
	}
	fields := strings.Fields(k.Value)
	if len(fields) == 0 || !inifile.IsAddr(fields[0]) {
		return fail(fmt.Sprintf("bad address in %q", k.Value))
	}
	attrs := map[string]string{}
	for _, field := range fields[1:] {
		name, value, ok := strings.Cut(field, "=")
		if !ok || attrs[name] != "" || !validName(value) || !isUpstreamAttr(name) {
			return fail(fmt.Sprintf("bad attribute %q", field))
		}
		attrs[name] = value
	}
	shard, err := strconv.Atoi(attrs["shard"])
	if err != nil || shard < 0 || shard >= shards {
		return fail(fmt.Sprintf("bad shard %q, the pool has shards 0 to %d", attrs["shard"], shards-1))
	}
	if attrs["zone"] == "" {
		return fail("zone is missing")
	}
	return Upstream{ID: id, Addr: fields[0], Zone: attrs["zone"], Shard: shard, Version: attrs["version"]}, true
}

func isUpstreamAttr(name string) bool {
	return name == "zone" || name == "shard" || name == "version"
}

func markDraining(r *inifile.Reader, pool *Pool, ids []string) {
	for _, id := range ids {
		found := false
		for i := range pool.Upstreams {
			if pool.Upstreams[i].ID == id {
				pool.Upstreams[i].Draining = true
				found = true
			}
		}
		if !found {
			r.Fail("leaving", fmt.Sprintf("no upstream %q in this pool", id), "name an upstream ID of the pool or remove it")
		}
	}
}

// readRollout returns nil unless the pool has a version key.
func readRollout(r *inifile.Reader) *Rollout {
	to, hasTo := r.Lookup("version")
	from, hasFrom := r.Lookup("version-from")
	share := r.Percent("version-share", 1)
	start, hasStart := r.Time("version-start")
	end, hasEnd := r.Time("version-by")
	if !hasTo {
		if hasFrom || hasStart || hasEnd {
			r.Fail("version", "key is missing", "add version = the new version, or remove the other version keys")
		}
		return nil
	}
	if !hasStart || !hasEnd {
		r.Fail("version", "the rollout has no version-start or no version-by", "add both, such as version-by = 2026-12-03T21:00:00Z")
		return nil
	}
	if !end.After(start) {
		r.Fail("version-by", "it is not after version-start", "write a later time")
	}
	return &Rollout{From: from, To: to, Share: share, Start: start.UTC(), End: end.UTC()}
}

// checkRollout reports versions that are equal or that no upstream of the pool
// has.
func checkRollout(r *inifile.Reader, pool *Pool) {
	if pool.Rollout == nil {
		return
	}
	versions := map[string]bool{}
	for _, u := range pool.Upstreams {
		versions[u.Version] = true
	}
	if pool.Rollout.From == pool.Rollout.To {
		r.Fail("version-from", "the value is the same as that of version", "name the version that is replaced")
	}
	check := func(key, v string) {
		if v == "" || !versions[v] {
			r.Fail(key, fmt.Sprintf("no upstream of the pool has version %q", v), "name a version of the pool's upstreams")
		}
	}
	check("version", pool.Rollout.To)
	check("version-from", pool.Rollout.From)
}

func (p *parser) readRoute(sec *inifile.Section) {
	r := inifile.NewReader(sec, p.errs)
	route := &Route{Name: sec.Name, Pools: r.List("pools")}
	merge := MergeConcat
	if r.OneOf("kind", "query", "query", "action") == "action" {
		route.Kind = Action
		merge = MergeFirst
	}
	isQuery := route.Kind == Query
	route.Merge = Merge(r.OneOf("merge", string(merge), string(MergeConcat), string(MergeSum), string(MergeFirst), string(MergeTop)))
	route.Deadline = r.Duration("deadline", defaultDeadline, minDeadline, MaxDeadline)
	route.Idempotent = r.Bool("idempotent", isQuery)
	route.Partial = r.Bool("partial", isQuery)
	route.MinCoverage = r.Percent("min-coverage", 0)
	route.Urgent = r.Bool("urgent", false)
	readDirect(r, route)
	p.checkPools(r, route)
	checkKind(r, route, p.tables.Pools)
	r.Finish()
	p.tables.Routes[route.Name] = route
}

func (p *parser) checkPools(r *inifile.Reader, route *Route) {
	if len(route.Pools) == 0 {
		r.Fail("pools", "the route has no pool", "add pools = NAME, NAME")
	}
	seen := map[string]bool{}
	for _, name := range route.Pools {
		if p.tables.Pools[name] == nil {
			r.Fail("pools", fmt.Sprintf("no pool %q", name), "add [pool "+name+"] or correct the name")
		}
		if seen[name] {
			r.Fail("pools", fmt.Sprintf("duplicate pool %q", name), "keep one of the two")
		}
		seen[name] = true
	}
}

// checkKind reports keys that do not apply to the route's kind.
func checkKind(r *inifile.Reader, route *Route, pools map[string]*Pool) {
	if route.Kind == Action {
		if len(route.Pools) > 1 && len(route.Weights) == 0 {
			r.Fail("pools", "an action has one pool", "keep one pool, or add weights")
		}
		if route.Merge != MergeFirst {
			r.Fail("merge", "an action has one answer", "write merge = first or remove the key")
		}
		return
	}
	if !route.Idempotent {
		r.Fail("idempotent", "a query is always idempotent", "write kind = action or remove the key")
	}
	if route.Merge != MergeFirst {
		return
	}
	if len(route.Pools) != 1 || pools[route.Pools[0]] != nil && pools[route.Pools[0]].Shards != 1 {
		r.Fail("merge", "merge = first needs a single pool with a single shard", "write merge = concat or sum")
	}
}
