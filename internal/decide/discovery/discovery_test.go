package discovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
)

func TestDiscovery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "discovery")
}

var begin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return begin.Add(d) }

func registration(id string, rev uint64) discovery.Registration {
	return discovery.Registration{Key: "k/" + id, Revision: rev, Valid: true, Upstream: discovery.Upstream{ID: id, Pool: "p", Addr: "127.0.0.1:1"}}
}

// states returns the state of each usable upstream.
func states(m *discovery.Machine, now time.Time) map[string]discovery.State {
	out := map[string]discovery.State{}
	usable, _ := m.Usable(now)
	for _, b := range usable {
		out[b.ID] = b.State
	}
	return out
}

var _ = Describe("Machine", func() {
	It("uses a draining upstream only as a last resort, and not after the grace period", func() {
		m := discovery.New()
		m.Put(begin, registration("a", 1))
		e := registration("a", 2)
		e.Upstream.Draining = true
		m.Put(at(0), e)
		Expect(states(m, at(0))).To(HaveKeyWithValue("a", discovery.LastResort))
		e.Revision = 3 // a renewal while it drains must not prolong the grace period
		m.Put(at(time.Second), e)
		Expect(states(m, at(discovery.GracePeriod))).To(BeEmpty())
	})

	It("drops an upstream whose registration was removed after the grace period, unless it registers again", func() {
		m := discovery.New()
		m.Put(begin, registration("a", 1))
		m.Put(begin, registration("b", 2))
		Expect(m.Remove(at(0), "k/a", 3)).To(BeTrue())
		Expect(m.Remove(at(0), "k/b", 4)).To(BeTrue())
		m.Put(at(time.Second), registration("b", 5))
		Expect(states(m, at(discovery.GracePeriod))).To(Equal(map[string]discovery.State{"b": discovery.Active}))
	})

	It("starts the grace period of a registration removed during an outage when the store is available again", func() {
		m := discovery.New()
		m.Put(begin, registration("a", 1))
		m.StoreUnavailable()
		m.Remove(at(9*time.Second), "k/a", 2)
		m.StoreAvailable(at(10 * time.Second))
		Expect(states(m, at(11900*time.Millisecond))).To(HaveKeyWithValue("a", discovery.LastResort))
		Expect(states(m, at(10*time.Second+discovery.GracePeriod))).To(BeEmpty())
	})

	It("keeps all upstreams while the store is unavailable", func() {
		m := discovery.New()
		m.Put(begin, registration("a", 1))
		m.StoreUnavailable()
		Expect(states(m, at(time.Hour))).To(HaveKeyWithValue("a", discovery.Active))
	})

	It("removes what a listing lacks, unless it was written after the listing's revision", func() {
		m := discovery.New()
		m.Put(begin, registration("old", 1))
		m.Put(begin, registration("newer", 9))
		Expect(m.Replace(begin, []discovery.Registration{registration("a", 2)}, 5)).To(Equal([]string{"k/old"}))
		Expect(states(m, begin)).To(Equal(map[string]discovery.State{"old": discovery.LastResort, "a": discovery.Active, "newer": discovery.Active}))
	})

	It("ignores an older write, and doesn't use a registration that can't be decoded", func() {
		m := discovery.New()
		m.Put(begin, registration("a", 5))
		old := registration("a", 4)
		old.Upstream.Draining = true
		m.Put(begin, old)
		Expect(states(m, begin)).To(HaveKeyWithValue("a", discovery.Active))
		m.Put(begin, discovery.Registration{Key: "k/x", Revision: 6})
		Expect(states(m, begin)).NotTo(HaveKey(""))
	})

	It("returns when a grace period ends", func() {
		m := discovery.New()
		m.Put(begin, registration("a", 1))
		_, wake := m.Usable(begin)
		Expect(wake).To(BeZero())
		m.Remove(begin, "k/a", 2)
		_, wake = m.Usable(begin)
		Expect(wake).To(Equal(at(discovery.GracePeriod)))
	})

	It("takes the word of an upstream that it leaves for the rest of its incarnation, whatever the store says", func() {
		m := discovery.New()
		e := registration("a", 1)
		e.Upstream.Start = 1000
		m.Put(begin, e)
		m.StoreUnavailable()
		Expect(m.Leaving(at(0), "k/a", 999)).To(BeFalse(), "another incarnation said so")
		Expect(states(m, at(0))).To(HaveKeyWithValue("a", discovery.Active))
		Expect(m.Leaving(at(0), "k/a", 1000)).To(BeTrue())
		Expect(m.Leaving(at(time.Second), "k/a", 1000)).To(BeFalse(), "known")
		Expect(states(m, at(time.Second))).To(HaveKeyWithValue("a", discovery.LastResort))
		Expect(states(m, at(discovery.GracePeriod))).To(BeEmpty())

		m.StoreAvailable(at(3 * time.Second))
		e.Revision = 2
		m.Put(at(3*time.Second), e)
		m.Remove(at(4*time.Second), "k/a", 3)
		e.Revision = 4
		m.Put(at(5*time.Second), e)
		Expect(states(m, at(5*time.Second))).To(BeEmpty())

		e.Revision, e.Upstream.Start = 5, 2000
		m.Put(at(6*time.Second), e)
		Expect(states(m, at(6*time.Second))).To(HaveKeyWithValue("a", discovery.Active))
	})

	It("does not prolong the grace period of a leaving upstream by an outage or a later word of the store", func() {
		m := discovery.New()
		m.Put(begin, registration("a", 1))
		m.StoreUnavailable()
		m.Leaving(at(0), "k/a", 0)
		m.Remove(at(time.Second), "k/a", 2)
		m.StoreAvailable(at(1500 * time.Millisecond))
		Expect(states(m, at(1900*time.Millisecond))).To(HaveKeyWithValue("a", discovery.LastResort))
		Expect(states(m, at(discovery.GracePeriod))).To(BeEmpty())
	})

	It("uses an upstream without a start time again when it registers after its removal, or at another address", func() {
		m := discovery.New()
		for _, id := range []string{"a", "b"} {
			m.Put(begin, registration(id, 1))
			m.Leaving(at(0), "k/"+id, 0)
		}
		m.Remove(at(time.Second), "k/a", 2)
		m.Put(at(5*time.Second), registration("a", 3))
		moved := registration("b", 4)
		moved.Upstream.Addr = "127.0.0.1:2"
		m.Put(at(5*time.Second), moved)
		Expect(states(m, at(5*time.Second))).To(Equal(map[string]discovery.State{"a": discovery.Active, "b": discovery.Active}))
	})
})
