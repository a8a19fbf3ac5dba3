package discovery_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/discovery"
	"github.com/sapphirewall/sapphirewall/internal/decide/era"
)

// heartbeat is a registration with its sequence number, read in an era.
func heartbeat(sequence uint64, draining bool, inEra, revision uint64) discovery.Registration {
	r := registration("a", era.Join(inEra, revision))
	r.Sequence, r.Upstream.Start, r.Upstream.Draining = sequence, 1000, draining
	return r
}

var _ = Describe("a restored store", func() {
	It("does not end the draining of an upstream; its next heartbeat and a restart do", func() {
		m := discovery.New()
		m.Put(at(0), heartbeat(10, false, 1, 50))
		m.Put(at(0), heartbeat(11, true, 1, 60))
		m.Replace(at(time.Minute), []discovery.Registration{heartbeat(10, false, 2, 50)}, era.Join(2, 55))
		Expect(states(m, at(time.Minute))).To(BeEmpty())
		Expect(m.Outdated()).To(Equal([]string{"k/a"}))
		m.Put(at(time.Minute), heartbeat(12, false, 2, 56))
		Expect(states(m, at(time.Minute))).To(HaveKeyWithValue("a", discovery.Active))
		Expect(m.Outdated()).To(BeEmpty())

		m.Put(at(time.Minute), heartbeat(13, true, 2, 57))
		restarted := heartbeat(1, false, 2, 58)
		restarted.Upstream.Start = 2000
		m.Put(at(2*time.Minute), restarted)
		Expect(states(m, at(2*time.Minute))).To(HaveKeyWithValue("a", discovery.Active))
	})

	It("does not bring a removed upstream back, but one that writes again", func() {
		m := discovery.New()
		m.Put(at(0), heartbeat(10, false, 1, 50))
		m.Remove(at(0), "k/a", era.Join(1, 60))
		Expect(states(m, at(10*time.Second))).To(BeEmpty())
		m.Replace(at(10*time.Second), []discovery.Registration{heartbeat(10, false, 2, 50)}, era.Join(2, 55))
		Expect(states(m, at(10*time.Second))).To(BeEmpty())
		m.Put(at(10*time.Second), heartbeat(11, false, 2, 56))
		Expect(states(m, at(10*time.Second))).To(HaveKeyWithValue("a", discovery.Active))
	})

	It("takes a removed upstream back within an era, whatever its sequence", func() {
		m := discovery.New()
		m.Put(at(0), heartbeat(10, false, 1, 50))
		m.Remove(at(0), "k/a", era.Join(1, 60))
		m.Put(at(10*time.Second), heartbeat(10, false, 1, 61))
		Expect(states(m, at(10*time.Second))).To(HaveKeyWithValue("a", discovery.Active))
	})

	It("keeps an upstream whose registration the copy lacks as a last resort for two seconds", func() {
		m := discovery.New()
		m.Put(at(0), heartbeat(10, false, 1, 50))
		m.Replace(at(time.Second), nil, era.Join(2, 40))
		Expect(states(m, at(time.Second))).To(HaveKeyWithValue("a", discovery.LastResort))
		Expect(states(m, at(time.Second+discovery.GracePeriod))).To(BeEmpty())
	})

	It("never takes an upstream for usable that said otherwise later, in 10,000 schedules of drills", func() {
		for seed := range uint64(10_000) {
			playDrills(rand.New(rand.NewPCG(seed, 7)), seed)
		}
	})
})

// playDrills plays the life of one upstream, whose store comes back from copies in
// random order of reads, writes, rewrites and drills. The VM reads late, in snapshots
// and changes.
func playDrills(rng *rand.Rand, seed uint64) {
	m := discovery.New()
	var history []discovery.Registration // of the store; nil Upstream ID: deleted
	inEra, revision, sequence := uint64(1), uint64(0), uint64(0)
	draining, known := false, false // by the upstream's word; known: the VM has read it
	now := begin
	write := func() {
		revision++
		sequence++
		history = append(history, heartbeat(sequence, draining, inEra, revision))
	}
	last := func() discovery.Registration {
		r := history[len(history)-1]
		_, own := era.Split(r.Revision)
		r.Revision = era.Join(inEra, own)
		return r
	}
	write()
	for range 30 {
		now = now.Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
		switch rng.IntN(6) {
		case 0:
			draining = true
			write()
		case 1:
			write()
		case 2: // a drill: the store forgets up to three writes
			keep := max(1, len(history)-rng.IntN(4))
			history = history[:keep]
			inEra++
			_, revision = era.Split(history[keep-1].Revision)
		case 3:
			m.Replace(now, []discovery.Registration{last()}, era.Join(inEra, revision))
			known = known || last().Upstream.Draining
		case 4:
			m.Put(now, last())
			known = known || last().Upstream.Draining
		case 5: // an answer
			if draining {
				m.Leaving(now, "k/a", 1000)
				_, listed := states(m, now)["a"]
				known = known || listed
			}
		}
		if state, usable := states(m, now)["a"]; known && usable {
			Expect(state).To(Equal(discovery.LastResort), "seed %d", seed)
		}
	}
	// The upstream writes once more, and the VM agrees with it.
	write()
	m.Put(now, last())
	state, usable := states(m, now)["a"]
	Expect(usable && state == discovery.Active).To(Equal(!draining), "seed %d", seed)
}
