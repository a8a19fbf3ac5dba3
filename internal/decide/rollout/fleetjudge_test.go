package rollout_test

import (
	"testing"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
)

// answers counts answers that took 40 ms, and slow ones that took 250 ms.
type answers struct{ usual, slow uint64 }

func (a answers) sums() rollout.Sums {
	const usualBucket, slowBucket = 9, 11 // 32 to 64 ms, and 128 to 256 ms
	s := rollout.Sums{Requests: a.usual + a.slow, LatencySum: time.Duration(a.usual)*40*time.Millisecond + time.Duration(a.slow)*250*time.Millisecond}
	s.LatencyBuckets[usualBucket], s.LatencyBuckets[slowBucket] = a.usual, a.slow
	return s
}

// Guards against the completion of a slow version whose answers under load all came within a
// second, and had less evidence against it than a suspicion needs.
func TestCompletionWithinTolerance(t *testing.T) {
	const soon = 16500 * time.Millisecond
	for _, c := range []struct {
		name           string
		trial, present answers       // of the new version, since the order
		last           time.Duration // age of the order at the last report
		want           rollout.Phase
	}{
		{name: "as slow as the old version", trial: answers{58, 0}, present: answers{142, 1}, last: soon, want: rollout.Completed},
		{name: "few slow answers", trial: answers{57, 1}, present: answers{139, 4}, last: soon, want: rollout.Completed},
		{name: "17 times as many slow answers", trial: answers{53, 5}, present: answers{132, 11}, last: soon, want: rollout.NoPhase},
		{name: "slow long after the old version's last answers", trial: answers{58, 0}, present: answers{136, 7}, last: 50 * time.Second, want: rollout.NoPhase},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Unix(1000, 0)
			j := rollout.NewFleetJudge(rollout.Order{Pool: "p", Version: "v2", Duration: 17 * time.Second, Revision: 7},
				rollout.Limits{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, begin)
			j.SetVMs([]string{"vm"})
			j.SetCapacity(rollout.Capacity{NewReplicas: 6, NewSlots: 100})
			sequence := uint64(0)
			report := func(age time.Duration, p rollout.Phase, news answers) {
				sequence++
				sums := news.sums()
				j.Report(begin.Add(age), rollout.Report{
					Node: "vm", Incarnation: 1, Sequence: sequence, Age: age, Phase: p, Firsts: 2300 + int(sums.Requests), Sent: int(sums.Requests), MaxAttempt: time.Second,
					Stats: []rollout.RolloutStat{{Class: rollout.OldVersion, Sums: answers{2290, 10}.sums()}, {Class: rollout.NewVersion, Sums: sums}},
				})
				j.Decide(begin.Add(age), true)
			}
			report(8*time.Second, rollout.Trial, c.trial)
			j.Recorded(begin.Add(16*time.Second), rollout.Commit, "")
			report(c.last, rollout.Commit, c.present)
			if got := j.Wanted(); got != c.want {
				t.Errorf("phase wanted: %v, want %v (held: %q)", got, c.want, j.Held())
			}
		})
	}
}
