package matrix

import (
	"fmt"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

var _ = registerCells("ownership", cell{"find owner", "egress process killed", ownerKilled})

// ownerKilled removes each of nine egress processes in turn: every replica must
// still have a running owner.
func ownerKilled(uint64) *history {
	const nodes, replicas = 9, 94
	h := &history{deadlines: map[string]time.Duration{}, finishedAt: map[string]time.Duration{}}
	zones := []string{"a", "b", "c"}
	for dead := range nodes {
		var live []ownership.Candidate
		for n := range nodes {
			if n != dead {
				live = append(live, ownership.Candidate{Node: fmt.Sprint("vm-", n), Zone: zones[n%len(zones)]})
			}
		}
		for r := range replicas {
			id := fmt.Sprintf("owner of replica %d without node %d", r, dead)
			h.deadlines[id] = time.Second
			owners := ownership.Rank(fmt.Sprint("replica-", r), zones[r%len(zones)], live, 2)
			if len(owners) == 2 && owners[0] != fmt.Sprint("vm-", dead) {
				h.finishedAt[id] = 0
			}
		}
	}
	return h
}
