package helpers_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/helpers"
)

func TestHelpers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "helpers")
}

var start = time.Unix(1000, 0)

// newSet returns a set of n candidates, each third of them near.
func newSet(n int) *helpers.Set {
	s := helpers.New(rand.New(rand.NewPCG(1, 1)))
	var all []helpers.Candidate
	for i := range n {
		all = append(all, helpers.Candidate{Name: fmt.Sprint("vm-", i), Addr: fmt.Sprint("addr-", i), Distance: min(i%3, 1) * 2})
	}
	s.SetCandidates(all)
	return s
}

// answerAll lets all VMs that are asked say a word.
func answerAll(s *helpers.Set, now time.Time, w helpers.Word) int {
	asked := s.Ask(now)
	for _, c := range asked {
		s.Answered(now, c.Name, w)
	}
	return len(asked)
}

func anyPools(map[string]bool) bool { return true }

var _ = Describe("a VM that needs help", func() {
	It("asks some of many, and each at intervals", func() {
		s := newSet(88)
		Expect(answerAll(s, start, helpers.Word{})).To(Equal(8))
		Expect(answerAll(s, start.Add(100*time.Millisecond), helpers.Word{})).To(BeZero())
		Expect(answerAll(s, start.Add(helpers.AskInterval), helpers.Word{})).To(Equal(8))
	})

	It("chooses near VMs first, and others when these are busy", func() {
		s := newSet(9)
		answerAll(s, start, helpers.Word{})
		distances := map[int]int{}
		for range 60 {
			c, ok := s.Choose(start, anyPools, nil)
			Expect(ok).To(BeTrue())
			distances[c.Distance]++
		}
		Expect(distances[0]).To(BeNumerically(">", 20))
		Expect(distances[2]).To(BeNumerically(">", 20))
	})

	It("chooses none that is cut off itself, lacks the pools, was tried, failed or has not said anything lately", func() {
		s := newSet(2)
		Expect(s.Any(start, anyPools)).To(BeFalse(), "not asked yet")
		answerAll(s, start, helpers.Word{LostPools: map[string]bool{"p": true}})
		s.Answered(start, "vm-0", helpers.Word{CutOff: true})
		_, ok := s.Choose(start, anyPools, []string{"vm-1"})
		Expect(ok).To(BeFalse())
		_, ok = s.Choose(start, func(lost map[string]bool) bool { return !lost["p"] }, nil)
		Expect(ok).To(BeFalse())
		_, ok = s.Choose(start.Add(10*time.Second), anyPools, nil)
		Expect(ok).To(BeFalse())
		c, ok := s.Choose(start, anyPools, nil)
		Expect(ok).To(BeTrue())
		Expect(c.Name).To(Equal("vm-1"))
		s.Done(start, "vm-1", true)
		_, ok = s.Choose(start, anyPools, nil)
		Expect(ok).To(BeFalse())
	})

	It("asks others instead of those that can't help or don't answer", func() {
		s := newSet(40)
		seen := map[string]bool{}
		for i := range 200 {
			for _, c := range s.Ask(start.Add(time.Duration(i) * helpers.AskInterval)) {
				seen[c.Name] = true
				if i%2 == 0 {
					s.Answered(start.Add(time.Duration(i)*helpers.AskInterval), c.Name, helpers.Word{CutOff: true})
				}
			}
		}
		Expect(seen).To(HaveLen(40))
	})
})
