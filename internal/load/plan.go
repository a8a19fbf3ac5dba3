package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Route describes the traffic for one route.
type Route struct {
	Name      string
	PerSecond float64
	Action    bool          // sent with an idempotency key
	Repeat    float64       // share of actions that are sent twice with the same key
	Deadline  time.Duration // 0: the deadline from the tables
}

// Request is one planned request.
type Request struct {
	Index   int
	At      time.Duration // from the start of the run
	Route   int
	Target  int // random; the runner uses it modulo the number of targets
	Key     string
	Payload []byte
}

// repeatDelay is the time between the two requests with the same key.
const repeatDelay = 30 * time.Millisecond

// NewPlan generates the requests of a run, with a Poisson process for each
// route. Equal arguments give equal plans.
func NewPlan(seed uint64, routes []Route, length time.Duration) []Request {
	var out []Request
	for i, r := range routes {
		out = append(out, planRoute(rand.New(rand.NewPCG(seed, uint64(i))), i, r, length)...)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	for i := range out {
		out[i].Index = i
	}
	return out
}

func planRoute(rng *rand.Rand, index int, r Route, length time.Duration) []Request {
	var out []Request
	if r.PerSecond <= 0 {
		return nil
	}
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / r.PerSecond * float64(time.Second))
		if at >= length {
			return out
		}
		s := Request{At: at, Route: index, Target: rng.IntN(1 << 16)}
		s.Payload = fmt.Appendf(nil, `{"route":%q,"n":%d,"mark":%d}`, r.Name, n, rng.Uint32())
		if r.Action {
			s.Key = fmt.Sprintf("%s-%d-%d", r.Name, n, rng.Uint32())
		}
		out = append(out, s)
		if r.Action && rng.Float64() < r.Repeat {
			s.At += repeatDelay
			s.Target = rng.IntN(1 << 16)
			out = append(out, s)
		}
	}
}
