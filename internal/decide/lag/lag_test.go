package lag_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/lag"
)

const ms = time.Millisecond

func TestWait(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name  string
		ticks []int // in ms
		now   int
		want  time.Duration
	}{
		{"no tick yet", nil, 10, 0},
		{"ticks in time", []int{0, 50, 103, 150}, 160, 0},
		{"a tick that is a little late", []int{0, 50, 118}, 120, 0},
		{"a tick that is overdue", []int{0, 50}, 300, 250 * ms},
		{"just after a lag", []int{0, 50, 300}, 301, 250 * ms},
		{"while what has waited is handled", []int{0, 50, 300, 340}, 345, 250 * ms},
		{"later", []int{0, 50, 300, 350}, 351, 0},
		{"a second lag", []int{0, 50, 300, 400}, 401, 100 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := lag.New(50 * ms)
			for _, tick := range c.ticks {
				tracker.Tick(at(tick))
			}
			NewWithT(t).Expect(tracker.Wait(at(c.now))).To(Equal(c.want))
		})
	}
}

// TestWaitCoversEveryStall guards against a wait that is longer than the bound, wherever
// a stall lies between the ticks.
func TestWaitCoversEveryStall(t *testing.T) {
	g := NewWithT(t)
	for begin := range 50 {
		for _, stall := range []int{80, 130, 250, 600} {
			tracker, now := lag.New(50*ms), time.Unix(1000, 0)
			start := now
			stalled := func(at time.Time) bool {
				d := at.Sub(start)
				return d >= time.Duration(100+begin)*ms && d < time.Duration(100+begin+stall)*ms
			}
			for next := now; now.Sub(start) < time.Duration(100+begin+stall)*ms; now = now.Add(ms) {
				if !now.Before(next) && !stalled(now) {
					tracker.Tick(now)
					next = next.Add(50 * ms)
				}
			}
			g.Expect(tracker.Wait(now)).To(BeNumerically(">=", time.Duration(stall)*ms-70*ms), "stall of %d ms from %d ms", stall, 100+begin)
		}
	}
}
