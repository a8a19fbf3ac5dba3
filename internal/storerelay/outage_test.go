package storerelay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// readCalls returns the number of calls that are no probes.
func (s *store) readCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls - s.probes
}

var _ = Describe("a zone of many VMs", func() {
	// Guards against calls of each VM by itself in an outage for all: one of 4.5 s made
	// four times the calls of a quiet day at 295 VMs.
	It("makes few calls while the store is unavailable to all of its VMs", func() {
		const size, away = 16, 4 * time.Second
		st := newStore()
		vms := newZone(st, size)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		for _, v := range vms {
			st.setDisconnected(v.Name, true)
		}
		before := st.readCalls()
		time.Sleep(away)
		// The watches of the relays and their substitutes fail once each, and one call a
		// second is made for the zone. Probes cost a tenth.
		Expect(st.readCalls() - before).To(BeNumerically("<=", 4+int(away/time.Second)))
		for _, v := range vms {
			st.setDisconnected(v.Name, false)
		}
		st.set("2")
		expectAll(vms, "2", 2*time.Second)
	})
})
