package direct

import (
	"sort"
	"time"
)

// versionReportInterval is the time between two log lines on the versions of a pool.
const versionReportInterval = time.Second

// versionCounts are the attempts at the replicas of one version of a pool since the
// process started.
type versionCounts struct {
	sent   int // placed
	extra  int // of sent, retries and hedges
	failed int // ended with a failure of the replica or without an answer
	slow   int // answered, but only after several times the route's typical latency
}

// slowFactor is the multiple of a route's typical latency from which an answer counts
// as slow.
const slowFactor = 4

// countsOf returns the counts of a version of the pool. s.mu is held.
func (p *pool) countsOf(version string) *versionCounts {
	c := p.versions[version]
	if c == nil {
		c = &versionCounts{}
		p.versions[version] = c
	}
	return c
}

// usableVersions returns the versions of the pool's replicas, in order. s.mu is held.
func (p *pool) usableVersions() []string {
	var out []string
	seen := map[string]bool{}
	for _, r := range p.replicas {
		if v := r.status.Version; !seen[v] {
			seen[v] = true
			out = append(out, v)
		}
	}
	sort.Strings(out)
	return out
}

// reportVersions logs the counts of each version of the pools that have replicas of
// several.
func (s *Service) reportVersions(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.versionsReported) < versionReportInterval {
		return
	}
	s.versionsReported = now
	for name, p := range s.pools {
		versions := p.usableVersions()
		if len(versions) < 2 {
			continue
		}
		for _, v := range versions {
			c := p.countsOf(v)
			s.log.Info("version").Str("pool", name).Str("version", v).Int("sent", c.sent).Int("extra", c.extra).
				Int("failed", c.failed).Int("slow", c.slow).Msg("attempts at a version of a pool with several")
		}
	}
}
