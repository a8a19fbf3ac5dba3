package tables

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Change is one key that differs between two revisions. Old is empty for an
// added key and New for a removed one.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Op      Op     `json:"op"`
}

// Op is the kind of a change.
type Op string

// The kinds of change.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// String returns the change as one line, such as "[section] ~ key: old -> new".
func (c Change) String() string {
	switch c.Op {
	case Added:
		return fmt.Sprintf("[%s] + %s = %s", c.Section, c.Key, c.New)
	case Removed:
		return fmt.Sprintf("[%s] - %s = %s", c.Section, c.Key, c.Old)
	default:
		return fmt.Sprintf("[%s] ~ %s: %s -> %s", c.Section, c.Key, c.Old, c.New)
	}
}

// flatKey identifies a key by its section and name.
type flatKey struct {
	section, key string
}

// Diff returns the keys whose effective values differ between two tables, ordered
// by section and key. Either may be nil, which means no tables.
func Diff(from, to *Tables) []Change {
	before, after := flatten(from), flatten(to)
	var out []Change
	for k, v := range before {
		changed, ok := after[k]
		switch {
		case !ok:
			out = append(out, Change{Section: k.section, Key: k.key, Old: v, Op: Removed})
		case changed != v:
			out = append(out, Change{Section: k.section, Key: k.key, Old: v, New: changed, Op: Changed})
		}
	}
	for k, v := range after {
		if _, ok := before[k]; !ok {
			out = append(out, Change{Section: k.section, Key: k.key, New: v, Op: Added})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Section != out[j].Section {
			return out[i].Section < out[j].Section
		}
		return out[i].Key < out[j].Key
	})
	return out
}

// flatten returns the effective value of every key, written as in the text.
func flatten(t *Tables) map[flatKey]string {
	out := map[flatKey]string{}
	if t == nil {
		return out
	}
	if len(t.ZonesOutOfService) > 0 {
		out[flatKey{sectionFleet, "zones-out"}] = sortedNames(t.ZonesOutOfService)
	}
	for _, r := range t.Routes {
		flattenRoute(out, r)
	}
	for _, p := range t.Pools {
		flattenPool(out, p)
	}
	return out
}

func flattenRoute(out map[flatKey]string, r *Route) {
	section := sectionRoute + " " + r.Name
	kind := "query"
	if r.Kind == Action {
		kind = "action"
	}
	set := func(key, value string) { out[flatKey{section, key}] = value }
	set("kind", kind)
	set("pools", strings.Join(r.Pools, ", "))
	set("merge", string(r.Merge))
	set("deadline", r.Deadline.String())
	set("idempotent", yesNo(r.Idempotent))
	set("partial", yesNo(r.Partial))
	set("min-coverage", percent(r.MinCoverage))
	set("urgent", yesNo(r.Urgent))
	flattenDirect(set, r)
}

func flattenPool(out map[flatKey]string, p *Pool) {
	section := sectionPool + " " + p.Name
	set := func(key, value string) { out[flatKey{section, key}] = value }
	set("shards", strconv.Itoa(p.Shards))
	set("slots", strconv.Itoa(p.Slots))
	set("connections", strconv.Itoa(p.Connections))
	set("connect-cost", p.ConnectCost.String())
	set("cold-slots", strconv.Itoa(p.ColdSlots))
	if p.Discovered {
		set("discovered", yesNo(p.Discovered))
		set("cold-rate", strconv.Itoa(int(p.ColdRate)))
		set("cold-time", p.ColdTime.String())
	}
	var draining []string
	for _, u := range p.Upstreams {
		set(upstreamPrefix+u.ID, fmt.Sprintf("%s zone=%s shard=%d version=%s", u.Addr, u.Zone, u.Shard, u.Version))
		if u.Draining {
			draining = append(draining, u.ID)
		}
	}
	if len(draining) > 0 {
		set("leaving", strings.Join(draining, ", "))
	}
	if r := p.Rollout; r != nil {
		set("version", r.To)
		set("version-from", r.From)
		set("version-share", percent(r.Share))
		set("version-start", r.Start.Format(time.RFC3339))
		set("version-by", r.End.Format(time.RFC3339))
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func percent(f float64) string {
	return strconv.FormatFloat(f*100, 'g', -1, 64) + "%"
}
