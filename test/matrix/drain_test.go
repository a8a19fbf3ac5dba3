package matrix

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/drain"
)

// drainWithin is the time after the first drain signal in which new work must
// stop: the "few seconds" of the promise.
const drainWithin = 3 * time.Second

// signal is a source of drain signals: from when on it reports the upstream as
// draining, and when it wrongly withdraws the report, or never.
type signal struct{ from, until time.Duration }

const never = time.Hour

// drainUpstream simulates one draining upstream that the tables, the platform's
// list and the upstream's own status report at different times. New work is sent
// every 100 ms while the tracker does not consider the upstream draining.
func drainUpstream(table, list, own signal) func(uint64) *history {
	return func(uint64) *history {
		h, tracker, first := &history{}, drain.New(), noSignal
		active := func(s signal, at time.Duration) bool { return at >= s.from && at < s.until }
		for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
			now := epoch.Add(at)
			ids := map[bool][]string{true: {"u"}, false: nil}
			if at%(500*time.Millisecond) == 0 {
				tracker.UpdateUpstream("u", "start-1", active(own, at))
			}
			if at%(2*time.Second) == 0 {
				tracker.UpdateList(now, ids[active(list, at)])
			}
			if active(table, at) {
				tracker.UpdateTables(2, ids[true])
			} else {
				tracker.UpdateTables(1, nil)
			}
			if first < 0 && (active(table, at) || active(list, at) || active(own, at)) {
				first = at
			}
			if !tracker.IsDraining(now, "u") {
				h.attempts = append(h.attempts, attempt{"u", at, first, drainWithin})
			}
		}
		return h
	}
}

var _ = registerCells("drain",
	cell{"drain", "list and upstream lie", drainUpstream(signal{5 * time.Second, never}, signal{never, never}, signal{never, never})},
	cell{"drain", "tables late, list lies", drainUpstream(signal{12 * time.Second, never}, signal{never, never}, signal{5 * time.Second, never})},
	cell{"drain", "platform down, upstream silent", drainUpstream(signal{never, never}, signal{4 * time.Second, never}, signal{never, never})},
	cell{"drain", "stale relay takes tables back", drainUpstream(signal{5 * time.Second, 8 * time.Second}, signal{never, never}, signal{never, never})},
	cell{"drain", "upstream's report lags", drainUpstream(signal{never, never}, signal{never, never}, signal{5 * time.Second, 7 * time.Second})},
	cell{"drain", "list of VMs goes back and forth", drainUpstream(signal{never, never}, signal{4 * time.Second, 6 * time.Second}, signal{11 * time.Second, never})},
)
