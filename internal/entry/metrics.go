package entry

import (
	"expvar"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// metrics are the counters of the expvar map "entry".
type metrics struct {
	requests       *expvar.Int
	complete       *expvar.Int
	partial        *expvar.Int
	refused        *expvar.Int
	inFlight       *expvar.Int
	subRequests    *expvar.Int
	hedges         *expvar.Int
	retries        *expvar.Int
	droppedReplies *expvar.Int
	restarts       *expvar.Int
	refusals       *expvar.Map // by cause
}

func newMetrics() *metrics {
	m := telemetry.Map("entry")
	return &metrics{
		requests:       counter(m, "asked"),
		complete:       counter(m, "whole"),
		partial:        counter(m, "partial"),
		refused:        counter(m, "refused"),
		inFlight:       counter(m, "in_flight"),
		subRequests:    counter(m, "sub_requests"),
		hedges:         counter(m, "hedges"),
		retries:        counter(m, "retries"),
		droppedReplies: counter(m, "dropped_replies"),
		restarts:       counter(m, "snapshot_restarts"),
		refusals:       telemetry.Map("entry_refusals"),
	}
}

// counter returns the counter of a name and creates it on first use.
func counter(m *expvar.Map, name string) *expvar.Int {
	m.Add(name, 0)
	return m.Get(name).(*expvar.Int)
}

// countFanout adds the counts of one fan-out.
func (m *metrics) countFanout(c fanout.Counts) {
	m.subRequests.Add(int64(c.Sent))
	m.hedges.Add(int64(c.Hedges))
	m.retries.Add(int64(c.Retries))
	m.droppedReplies.Add(int64(c.Dropped))
}
