package matrix

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/drain"
)

// drainWithin is the "few seconds" after the first sign.
const drainWithin = 3 * time.Second

// sign is a source of drain signs in a cell: when it begins to tell, and when
// it wrongly takes it back, or never.
type sign struct{ tells, lies time.Duration }

const never = time.Hour

// drainRun lets one upstream leave at 5 s while each source tells in its own
// way; work is sent each 100 ms unless the machine forbids it.
func drainRun(table, list, own sign) func(uint64) *history {
	return func(uint64) *history {
		h, m, first := &history{}, drain.New(), noSign
		tells := func(s sign, at time.Duration) bool { return at >= s.tells && at < s.lies }
		for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
			now := epoch.Add(at)
			ids := map[bool][]string{true: {"u"}, false: nil}
			if at%(500*time.Millisecond) == 0 {
				m.UpdateUpstream("u", "start-1", tells(own, at))
			}
			if at%(2*time.Second) == 0 {
				m.UpdateList(now, ids[tells(list, at)])
			}
			if tells(table, at) {
				m.UpdateTables(2, ids[true])
			} else {
				m.UpdateTables(1, nil)
			}
			if first < 0 && (tells(table, at) || tells(list, at) || tells(own, at)) {
				first = at
			}
			if !m.IsDraining(now, "u") {
				h.sends = append(h.sends, send{"u", at, first, drainWithin})
			}
		}
		return h
	}
}

var _ = cells("drain",
	cell{"drain", "list and upstream lie", drainRun(sign{5 * time.Second, never}, sign{never, never}, sign{never, never})},
	cell{"drain", "tables late, list lies", drainRun(sign{12 * time.Second, never}, sign{never, never}, sign{5 * time.Second, never})},
	cell{"drain", "platform down, upstream silent", drainRun(sign{never, never}, sign{4 * time.Second, never}, sign{never, never})},
	cell{"drain", "stale relay takes tables back", drainRun(sign{5 * time.Second, 8 * time.Second}, sign{never, never}, sign{never, never})},
	cell{"drain", "upstream's report lags", drainRun(sign{never, never}, sign{never, never}, sign{5 * time.Second, 7 * time.Second})},
	cell{"drain", "list of VMs goes back and forth", drainRun(sign{never, never}, sign{4 * time.Second, 6 * time.Second}, sign{11 * time.Second, never})},
)
