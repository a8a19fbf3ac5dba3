package egress

import (
	"context"
	"math/bits"
	"sort"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

const (
	// statsInterval is the time between two reports to the control process.
	statsInterval = 500 * time.Millisecond
	// warmUpTime is how long after its start an upstream may be slow because
	// it is cold.
	warmUpTime = 30 * time.Second
	// bucketUnit is the upper bound of the first latency bucket; the bound of
	// each further bucket is twice that of the one before.
	bucketUnit = 125 * time.Microsecond
	// bucketCount is the number of buckets; the last one also counts everything
	// slower.
	bucketCount = 20
)

// statsKey identifies one statsRow.
type statsKey struct{ pool, version, route string }

// stats holds sums since the start of the process.
type stats struct {
	mu   sync.Mutex // guards rows
	rows map[statsKey]*statsRow
}

// statsRow holds the sums of one pool, version and route.
type statsRow struct {
	mu       sync.Mutex // guards the fields below
	requests uint64
	errors   uint64
	crashes  uint64
	latency  time.Duration
	buckets  [bucketCount]uint64
	inFlight uint64
}

func newStats() *stats { return &stats{rows: map[statsKey]*statsRow{}} }

// start counts the start of an attempt and returns its row.
func (s *stats) start(cfg *replicaConfig, route string) *statsRow {
	key := statsKey{cfg.pool.Name, cfg.version, route}
	s.mu.Lock()
	row := s.rows[key]
	if row == nil {
		row = &statsRow{}
		s.rows[key] = row
	}
	s.mu.Unlock()
	row.mu.Lock()
	defer row.mu.Unlock()
	row.inFlight++
	return row
}

// end counts the end of an attempt. One that ended without an answer counts
// with its elapsed time, so that a version that is too slow to answer shows as
// slow. One that a warming upstream answered, or that was cancelled at such an
// upstream, shows nothing about the speed of its version and counts without its
// time.
func (r *statsRow) end(elapsed time.Duration, v *verdict.Error, warming bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if v != nil && v.Outcome == verdict.NotRun {
		return
	}
	r.requests++
	answered := v == nil || v.Cause == verdict.Cancelled
	if answered && warming {
		return
	}
	r.latency += elapsed
	r.buckets[bucketOf(elapsed)]++
	switch {
	case answered:
	case v.Cause == verdict.ConnectionLost:
		r.errors++
		r.crashes++
	default:
		r.errors++
	}
}

// bucketOf returns the index of the bucket for d.
func bucketOf(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/bucketUnit)), bucketCount-1)
}

// report returns the wire form of all rows, ordered by key.
func (s *stats) report(node string, incarnation uint64) *swpb.StatsReport {
	out := &swpb.StatsReport{Node: node, Incarnation: incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, row := range s.rows {
		out.Stats = append(out.Stats, row.proto(key))
	}
	sort.Slice(out.Stats, func(i, j int) bool {
		a, b := out.Stats[i], out.Stats[j]
		if a.GetPool() != b.GetPool() {
			return a.GetPool() < b.GetPool()
		}
		if a.GetVersion() != b.GetVersion() {
			return a.GetVersion() < b.GetVersion()
		}
		return a.GetRoute() < b.GetRoute()
	})
	return out
}

func (r *statsRow) proto(key statsKey) *swpb.VersionStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &swpb.VersionStats{
		Pool: key.pool, Version: key.version, Route: key.route,
		Requests: r.requests, Errors: r.errors, Crashes: r.crashes,
		LatencySumUs: uint64(r.latency / time.Microsecond), LatencyBuckets: append([]uint64(nil), r.buckets[:]...),
		InFlight: r.inFlight,
	}
}

// reportStats sends the sums to the control process at each interval until the
// service stops.
func (s *Service) reportStats() {
	tick := time.NewTicker(statsInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		ctx, cancel := context.WithTimeout(s.ctx, statsInterval)
		report := s.stats.report(s.settings.Node.ID, s.incarnation)
		_, err := s.control.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_StatsReport{StatsReport: report}})
		cancel()
		if err != nil {
			count("stats_report_failed")
		}
	}
}
