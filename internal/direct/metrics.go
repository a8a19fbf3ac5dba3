package direct

import (
	"expvar"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// metrics are the counters and histograms of the service, in the expvar maps
// "direct" and "direct_latency_ms".
type metrics struct {
	counters *expvar.Map
	latency  *expvar.Map
}

func newMetrics() metrics {
	return metrics{counters: telemetry.Map("direct"), latency: telemetry.Map("direct_latency_ms")}
}

func (m metrics) add(name string, n int64) { m.counters.Add(name, n) }

func (m metrics) set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	m.counters.Set(name, v)
}

func (m metrics) count(name string) { m.add(name, 1) }

// latencyBounds are the upper bounds of the histogram buckets.
var latencyBounds = []struct {
	bound time.Duration
	name  string
}{
	{5 * time.Millisecond, "le_5"},
	{10 * time.Millisecond, "le_10"},
	{20 * time.Millisecond, "le_20"},
	{50 * time.Millisecond, "le_50"},
	{100 * time.Millisecond, "le_100"},
	{200 * time.Millisecond, "le_200"},
	{500 * time.Millisecond, "le_500"},
	{time.Second, "le_1000"},
	{5 * time.Second, "le_5000"},
}

// observe adds a latency to the histogram of a kind, such as "request" or
// "attempt".
func (m metrics) observe(kind string, d time.Duration) {
	for _, b := range latencyBounds {
		if d <= b.bound {
			m.latency.Add(kind+"_"+b.name, 1)
			return
		}
	}
	m.latency.Add(kind+"_more", 1)
}
