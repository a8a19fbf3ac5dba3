package reach_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reach")
}

// world is replicas of two pools that a VM sends to.
type world struct {
	now      time.Time
	replicas []reach.Replica
	machine  reach.Machine
	latency  time.Duration // of answers
	typical  time.Duration
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0), latency: 20 * time.Millisecond, typical: 20 * time.Millisecond}
	for i := range 10 {
		w.replicas = append(w.replicas, reach.Replica{Pool: []string{"even", "odd"}[i%2], Path: &reach.Path{}})
	}
	return w
}

// effect is what becomes of the attempts at a replica.
type effect int

const (
	answers effect = iota
	hangs
	fails // at once
)

// run sends an attempt every 10 ms to the replicas in turn, while what becomes of it is as
// of says, and judges every 100 ms.
func (w *world) run(d time.Duration, of func(i int) effect) {
	type end struct {
		at   time.Time
		path *reach.Path
	}
	var ends []end
	for n := 0; n < int(d/(10*time.Millisecond)); n++ {
		w.now = w.now.Add(10 * time.Millisecond)
		for len(ends) > 0 && !ends[0].at.After(w.now) {
			ends[0].path.Answered(w.now)
			ends = ends[1:]
		}
		i := n % len(w.replicas)
		path := w.replicas[i].Path
		path.Sent(w.now, w.typical)
		switch of(i) {
		case answers:
			ends = append(ends, end{w.now.Add(w.latency), path})
		case fails:
			path.Failed(w.now)
		}
		if n%10 == 9 {
			w.machine.Judge(w.now, w.replicas)
		}
	}
	for _, e := range ends {
		e.path.Answered(w.now)
	}
}

func (w *world) cuts() reach.Cuts { return w.machine.Cuts() }

func all(e effect) func(int) effect { return func(int) effect { return e } }

func pool(odd int, e effect) func(int) effect {
	return func(i int) effect {
		if i%2 == odd {
			return e
		}
		return answers
	}
}

var _ = Describe("a VM", func() {
	DescribeTable("finds that it is cut off from all replicas within a second", func(e effect) {
		w := newWorld()
		w.run(3*time.Second, all(answers))
		Expect(w.cuts().Any()).To(BeFalse())
		began := w.now
		w.run(time.Second, all(e))
		Expect(w.cuts().All).To(BeTrue())
		Expect(w.cuts().Since).To(BeTemporally("<=", began.Add(50*time.Millisecond)))
	}, Entry("when attempts hang", hangs), Entry("when they fail", fails))

	DescribeTable("isn't cut off from all replicas", func(of func(i int) effect) {
		w := newWorld()
		w.run(3*time.Second, of)
		Expect(w.cuts().All).To(BeFalse())
	},
		Entry("while one answers", func(i int) effect { return []effect{answers, fails}[min(i, 1)] }),
		Entry("while those of a pool fail", pool(1, fails)),
		Entry("while those of a pool hang", pool(1, hangs)),
	)

	It("isn't cut off from slow replicas", func() {
		w := newWorld()
		w.latency, w.typical = 350*time.Millisecond, 100*time.Millisecond
		w.run(5*time.Second, all(answers))
		Expect(w.cuts().Any()).To(BeFalse())
	})

	It("isn't cut off when it has nothing to send", func() {
		w := newWorld()
		w.run(2*time.Second, func(i int) effect { return []effect{fails, answers}[min(i, 1)] })
		w.now = w.now.Add(time.Hour)
		w.machine.Judge(w.now, w.replicas)
		Expect(w.cuts().Any()).To(BeFalse())
	})

	It("judges nothing just after its process was paused", func() {
		w := newWorld()
		w.run(time.Second, all(answers))
		for _, r := range w.replicas {
			r.Path.Sent(w.now, w.typical)
		}
		w.now = w.now.Add(3 * time.Second) // paused; the answers have not been read yet
		w.machine.Paused(w.now)
		Expect(w.machine.Judge(w.now.Add(100*time.Millisecond), w.replicas)).To(BeFalse())
	})

	It("finds that it is cut off from one pool, until one of its replicas is heard", func() {
		w := newWorld()
		w.run(time.Second, all(answers))
		w.run(2*time.Second, pool(1, fails))
		Expect(w.cuts().Has("odd")).To(BeTrue())
		Expect(w.cuts().Has("even")).To(BeFalse())
		w.replicas[1].Path.Heard(w.now)
		w.now = w.now.Add(500 * time.Millisecond)
		w.machine.Judge(w.now, w.replicas)
		Expect(w.cuts().Any()).To(BeFalse())
	})

	It("takes a cut from all replicas as ended when two are heard, and holds it longer each time it comes back", func() {
		w := newWorld()
		w.run(time.Second, all(answers))
		var holds []time.Duration
		for range 5 {
			w.run(time.Second, all(hangs))
			Expect(w.cuts().All).To(BeTrue())
			began := w.now
			for range 30 {
				w.now = w.now.Add(100 * time.Millisecond)
				w.replicas[0].Path.Heard(w.now)
				w.machine.Judge(w.now, w.replicas)
				Expect(w.cuts().All).To(BeTrue(), "one replica is not enough")
			}
			for w.cuts().All {
				w.now = w.now.Add(100 * time.Millisecond)
				w.replicas[0].Path.Heard(w.now)
				w.replicas[1].Path.Heard(w.now)
				w.machine.Judge(w.now, w.replicas)
			}
			holds = append(holds, w.now.Sub(began))
		}
		Expect(holds[4]).To(BeNumerically(">", holds[0]))
	})
})
