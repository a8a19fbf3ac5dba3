package routes

import (
	"strings"

	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// Index finds routes. It is immutable and safe for concurrent use.
type Index struct {
	hosts map[string]map[string]*tables.Route // by host in lower case, then by prefix
}

// New returns an index of those routes that have a host and a prefix.
func New(all map[string]*tables.Route) *Index {
	x := &Index{hosts: map[string]map[string]*tables.Route{}}
	for _, r := range all {
		if r.Host == "" || r.Prefix == "" {
			continue
		}
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = map[string]*tables.Route{}
		}
		x.hosts[host][r.Prefix] = r
	}
	return x
}

// Find returns the route for a host, with or without a port, and a path, or nil if
// none matches. It makes at most one map lookup per segment of the path.
func (x *Index) Find(host, path string) *tables.Route {
	prefixes := x.hosts[strings.ToLower(withoutPort(host))]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
