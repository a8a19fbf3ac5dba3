package zonehold_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/zonehold"
)

func TestZonehold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zonehold")
}

var begin = time.Unix(1000, 0)

func zones(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, name := range names {
		out[name] = true
	}
	return out
}

var _ = Describe("Holder", func() {
	It("follows the operator within an era", func() {
		h := zonehold.New()
		h.Set(begin, zones("a", "b"), 1)
		Expect(h.Set(begin, zones("b"), 1)).To(BeEmpty())
		Expect(h.Out(begin)).To(Equal(zones("b")))
		Expect(h.Next(begin).IsZero()).To(BeTrue())
	})

	It("holds a zone whose order is missing in a new era, for a period", func() {
		h := zonehold.New()
		h.Set(begin, zones("a"), 1)
		Expect(h.Set(begin, zones(), 2)).To(Equal([]string{"a"}))
		Expect(h.Out(begin)).To(Equal(zones("a")))
		Expect(h.Next(begin)).To(Equal(begin.Add(zonehold.Period)))
		h.Set(begin.Add(time.Second), zones("b"), 2) // another change meanwhile
		Expect(h.Out(begin.Add(time.Second))).To(Equal(zones("a", "b")))
		Expect(h.Out(begin.Add(zonehold.Period))).To(Equal(zones("b")))
	})

	It("holds it again if another drill comes before the operator has repeated the order", func() {
		h := zonehold.New()
		h.Set(begin, zones("a"), 1)
		h.Set(begin, zones(), 2)
		later := begin.Add(zonehold.Period - time.Second)
		h.Set(later, zones(), 3)
		Expect(h.Out(later.Add(zonehold.Period - time.Second))).To(Equal(zones("a")))
		Expect(h.Out(later.Add(zonehold.Period))).To(BeEmpty())
	})

	It("takes the operator's word as soon as the order is there again", func() {
		h := zonehold.New()
		h.Set(begin, zones("a"), 1)
		h.Set(begin, zones(), 2)
		h.Set(begin.Add(time.Second), zones("a"), 2)
		h.Set(begin.Add(2*time.Second), zones(), 2)
		Expect(h.Out(begin.Add(2 * time.Second))).To(BeEmpty())
	})
})
