package revision_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/revision"
)

func TestRevision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

var begin = time.Unix(1_000_000, 0)

// offer returns an offer of revision n and the digest of its contents.
func offer(n uint64, contents string) (revision.Offer, revision.Digest) {
	d := sha256.Sum256([]byte(contents))
	return revision.Offer{Revision: n, EditID: contents, Digest: d}, d
}

// policy is the part of a tracker that the checks below use.
type policy interface {
	Offer(revision.Offer, revision.Digest) revision.Decision
	InForce(time.Time) (revision.Offer, bool)
	ObservePeer(string, uint64)
	SetPeerCount(int)
}

// lastOffer is a wrong policy: the last offer received is in force at once.
type lastOffer struct {
	o   revision.Offer
	has bool
}

func (l *lastOffer) Offer(o revision.Offer, _ revision.Digest) revision.Decision {
	l.o, l.has = o, true
	return revision.Adopt
}
func (l *lastOffer) InForce(time.Time) (revision.Offer, bool) { return l.o, l.has }
func (l *lastOffer) ObservePeer(string, uint64)               {}
func (l *lastOffer) SetPeerCount(int)                         {}

// firstViolation generates offers out of order, restarts and texts that don't
// match their digest, and describes the first violation of the rules for the
// revision in force.
func firstViolation(t *rapid.T, start func(time.Time) policy) string {
	now, best := begin, uint64(0)
	m := start(now)
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0: // restart; a peer has in force what this node had
			m = start(now)
			m.SetPeerCount(3)
			m.ObservePeer("a", best)
		case 1: // the text of another commit
			o, _ := offer(rapid.Uint64Range(1, 9).Draw(t, "rev"), "x")
			m.Offer(o, revision.Digest{1})
		case 2:
			m.ObservePeer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer"), rapid.Uint64Range(0, 9).Draw(t, "rev"))
		default:
			n := rapid.Uint64Range(1, 9).Draw(t, "rev")
			o, d := offer(n, fmt.Sprint("commit ", n))
			m.Offer(o, d)
		}
		o, ok := m.InForce(now)
		if !ok {
			continue
		}
		if o.Revision < best {
			return fmt.Sprintf("revision in force went from %d back to %d", best, o.Revision)
		}
		if o.EditID != fmt.Sprint("commit ", o.Revision) {
			return fmt.Sprintf("revision %d in force has the contents of %q", o.Revision, o.EditID)
		}
		best = o.Revision
	}
	return ""
}

var _ = Describe("Tracker", func() {
	start := func(now time.Time) policy { return revision.New(revision.DefaultConfig(), now) }

	It("never returns to a lower revision and never adopts contents that don't match, across restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if violation := firstViolation(t, start); violation != "" {
				t.Fatal(violation)
			}
		})
	})

	It("differs from a policy that puts the last offer in force", func() {
		failed := false
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			failed = failed || firstViolation(t, func(time.Time) policy { return &lastOffer{} }) != ""
		})
		Expect(failed).To(BeTrue())
	})

	It("decides on each offer", func() {
		m := revision.New(revision.DefaultConfig(), begin)
		o5, d5 := offer(5, "five")
		other, dOther := offer(5, "other")
		o4, d4 := offer(4, "four")
		Expect(m.Offer(o5, d4)).To(Equal(revision.Unproved))
		Expect(m.Offer(o5, d5)).To(Equal(revision.Adopt))
		Expect(m.Offer(o5, d5)).To(Equal(revision.Known))
		Expect(m.Offer(other, dOther)).To(Equal(revision.Conflict))
		Expect(m.Offer(o4, d4)).To(Equal(revision.Stale))
	})

	It("waits at startup for peers, and for a newer revision that a peer has", func() {
		m := revision.New(revision.DefaultConfig(), begin)
		o4, d4 := offer(4, "four")
		o5, d5 := offer(5, "five")
		m.Offer(o4, d4)
		_, ok := m.InForce(begin)
		Expect(ok).To(BeFalse(), "no peer has reported yet")
		m.SetPeerCount(2)
		m.ObservePeer("a", 5)
		_, ok = m.InForce(begin.Add(time.Minute))
		Expect(ok).To(BeFalse(), "a peer has a newer revision")
		m.Offer(o5, d5)
		got, ok := m.InForce(begin.Add(time.Minute))
		Expect(ok).To(BeTrue())
		Expect(got.Revision).To(BeEquivalentTo(5))
		alone := revision.New(revision.DefaultConfig(), begin)
		alone.Offer(o4, d4)
		alone.SetPeerCount(0)
		_, ok = alone.InForce(begin)
		Expect(ok).To(BeTrue(), "a node without peers doesn't wait")
	})
})

func BenchmarkOffer(b *testing.B) {
	m := revision.New(revision.DefaultConfig(), begin)
	for i := range b.N {
		m.Offer(revision.Offer{Revision: uint64(i + 1)}, revision.Digest{})
	}
}
