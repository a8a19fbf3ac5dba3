package membudget_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
)

func TestMemBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membudget")
}

func open(b *membudget.Budget, client string) *membudget.Account {
	GinkgoHelper()
	a, ok := b.Open(client)
	Expect(ok).To(BeTrue())
	return a
}

var _ = Describe("an account", func() {
	It("returns all that was drawn when its last user has released it", func() {
		b := membudget.New(100 << 20)
		a := open(b, "c")
		Expect(a.Take(1 << 20)).To(BeTrue())
		a.Force(4096)
		a.Return(1000)
		a.Retain()
		a.Release()
		Expect(b.Used()).To(BeNumerically(">", 1<<20))
		a.Release()
		Expect(b.Used()).To(BeZero())
		a.Force(1) // late, as by a reply that nobody waits for
		Expect(a.Take(1)).To(BeFalse())
		Expect(b.Used()).To(BeZero())
	})

	// Guards against a slow transfer that keeps bytes which others need, and against
	// returning its bytes twice when its connection ends.
	It("is given up for another client's once it is slow, and is whole again once", func() {
		b := membudget.New(10 << 20)
		slow, given := open(b, "slow"), make(chan struct{})
		slow.Begin(func() { close(given) })
		for slow.Take(64 << 10) {
		}
		Consistently(given, "20ms").ShouldNot(BeClosed())
		time.Sleep(510 * time.Millisecond) // its grace time
		other := open(b, "other")
		Expect(other.Take(900 << 10)).To(BeTrue())
		Expect(given).To(BeClosed())
		Expect(slow.End()).To(BeFalse())
		slow.Release()
		other.Release()
		Expect(b.Used()).To(BeZero())
	})

	It("is whole again after many users at the same time", func() {
		b := membudget.New(20 << 20)
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				for range 200 {
					a, ok := b.Open(string(rune('a' + i%3)))
					if !ok {
						continue
					}
					a.Begin(func() {})
					if a.Take(300 << 10) {
						a.Return(100 << 10)
					}
					a.End()
					a.Release()
				}
			})
		}
		wg.Wait()
		Expect(b.Used()).To(BeZero())
	})

	It("grants bytes to spare, gives up nothing for them, and has them back", func() {
		b := membudget.New(20 << 20)
		other := open(b, "other")
		Expect(other.Take(2 << 20)).To(BeTrue())
		other.Begin(func() { Fail("given up") })
		time.Sleep(510 * time.Millisecond) // its grace time
		a := open(b, "c")
		Expect(a.TakeSpare(1 << 20)).To(BeNumerically("<", 1<<20))
		other.Release()
		n := a.TakeSpare(64 << 10)
		Expect(n).To(Equal(64 << 10))
		a.Release()
		Expect(a.TakeSpare(64<<10)).To(BeZero(), "after its end")
		Expect(b.Used()).To(BeZero())
	})

	It("has no limit without a budget", func() {
		var b *membudget.Budget
		a := open(b, "c")
		Expect(a.TakeSpare(1 << 20)).To(Equal(1 << 20))
		Expect(a.Take(1 << 40)).To(BeTrue())
		a.Begin(func() {})
		Expect(a.End()).To(BeTrue())
		a.Release()
	})
})
