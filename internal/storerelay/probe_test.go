package storerelay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a change that comes while a probe of the store is under way", func() {
	// Guards against a probe that ends with the watch that began it and counts as an
	// outage of the store for all.
	It("is no outage of the store", func() {
		st := newStore()
		vms := newZone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(time.Second) // watches that began before the relays had any state have ended
		before := 0
		for _, v := range vms {
			before += v.outages
		}
		st.mu.Lock()
		st.probeTime = 600 * time.Millisecond
		st.mu.Unlock()
		for i := range 8 {
			st.set(fmt.Sprint("value ", i))
			time.Sleep(1270 * time.Millisecond)
		}
		expectAll(vms, "value 7", 5*time.Second)
		after := 0
		for _, v := range vms {
			v.mu.Lock()
			after += v.outages
			v.mu.Unlock()
		}
		Expect(after).To(Equal(before))
	})
})
