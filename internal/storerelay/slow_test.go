package storerelay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
)

// Heard implements storerelay.Store.
func (s vmStore) Heard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

var _ = Describe("a VM that starts and reads a large state over a slow link", func() {
	// Guards against a read that is taken for an outage while it is under way.
	It("waits for the store, and uses no earlier state of other VMs", func() {
		st := newStore()
		vms := newZone(st, 2)
		expectAll(vms, "1", 5*time.Second)
		for _, v := range vms {
			st.setDisconnected(v.Name, true)
		}
		st.set("2")
		time.Sleep(time.Second) // the VMs have found the store away
		st.mu.Lock()
		st.snapshotTime = 900 * time.Millisecond
		st.mu.Unlock()
		late := newVM(st, "vm-9", "a", func(*vm) {})
		late.watch([]vmregistry.Node{vms[0].Node, vms[1].Node, late.Node})
		expectAll([]*vm{late}, "2", 3*time.Second)
		late.mu.Lock()
		defer late.mu.Unlock()
		Expect(late.seen[0]).To(Equal("2"))
	})
})
