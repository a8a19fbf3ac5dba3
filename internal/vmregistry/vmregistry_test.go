package vmregistry_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
)

func TestVMRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "vmregistry")
}

// store holds entries that never expire, and can be down.
type store struct {
	mu      sync.Mutex
	entries []platform.Entry
	down    bool
	era     uint64
	leases  platform.LeaseID // granted in this era
}

// restore brings the store back from a copy without the registrations.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.entries, s.leases = nil, 0
}

func (s *store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) err() error {
	if s.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *store) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, s.err()
}

func (s *store) Renew(context.Context, platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err()
}

func (s *store) Put(_ context.Context, key string, value []byte, lease platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnavailable
	}
	if lease == 0 || lease > s.leases {
		return platform.ErrLeaseNotFound
	}
	s.entries = append(s.entries, platform.Entry{Key: key, Value: value})
	return nil
}

func (s *store) ListStale(context.Context, string) ([]platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.Entry(nil), s.entries...), s.err()
}

func (s *store) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, e := range s.entries {
		out = append(out, e.Key)
	}
	return out
}

var _ = Describe("Service", func() {
	self := vmregistry.Node{Name: "vm-1", Zone: "a", Addr: "10.0.0.1:7"}
	other := vmregistry.Node{Name: "vm-2", Zone: "b", Addr: "10.0.0.2:7"}

	start := func(st *store) chan []vmregistry.Node {
		lists := make(chan []vmregistry.Node, 10)
		r := vmregistry.New(st, "vms/", self, func(nodes []vmregistry.Node) { lists <- nodes }, zerolog.New(GinkgoWriter))
		Expect(r.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(r.Stop(context.Background())).To(Succeed()) })
		return lists
	}

	It("gives a VM that restarts the list of the others at once, and registers it", func() {
		st := &store{entries: []platform.Entry{{Key: "vms/vm-2", Value: []byte("b 10.0.0.2:7")}}}
		lists := start(st)
		var nodes []vmregistry.Node
		Eventually(lists, "1s").Should(Receive(&nodes))
		Expect(nodes).To(ConsistOf(self, other))
		Eventually(st.keys, "1s").Should(ConsistOf("vms/vm-1", "vms/vm-2"))
	})

	It("lists the VMs that start together soon after the start", func() {
		st := &store{}
		lists := start(st)
		var nodes []vmregistry.Node
		Eventually(lists, "4s").Should(Receive(&nodes))
		Expect(nodes).To(ConsistOf(self))
	})

	// Guards against renewing a lease that the store has lost, whose ID it may have
	// given to another VM: the registration then stays missing.
	It("registers again when the store has come back from an older copy, and once for each time", func() {
		st := &store{era: 1}
		start(st)
		for range 3 {
			Eventually(st.keys, "3s").Should(ConsistOf("vms/vm-1"))
			Consistently(st.keys, "600ms").Should(ConsistOf("vms/vm-1"))
			st.restore()
		}
		Eventually(st.keys, "3s").Should(ConsistOf("vms/vm-1"))
	})

	It("keeps VMs from another VM's list when their registrations have expired", func() {
		lists := make(chan []vmregistry.Node, 10)
		r := vmregistry.New(&store{}, "vms/", self, func(nodes []vmregistry.Node) { lists <- nodes }, zerolog.New(GinkgoWriter))
		r.Observe([]vmregistry.Node{other}, true)
		Expect(<-lists).To(ConsistOf(self, other))
		Expect(r.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(r.Stop(context.Background())).To(Succeed()) })
		var nodes []vmregistry.Node
		Eventually(lists, "4s").Should(Receive(&nodes)) // the store has only this VM's registration
		Expect(nodes).To(ConsistOf(self, other))
	})

	It("does not report a VM that made contact as the list of all VMs", func() {
		lists := make(chan []vmregistry.Node, 10)
		r := vmregistry.New(&store{}, "vms/", self, func(nodes []vmregistry.Node) { lists <- nodes }, zerolog.New(GinkgoWriter))
		r.Observe([]vmregistry.Node{other}, false)
		Expect(lists).NotTo(Receive())
		r.Observe([]vmregistry.Node{{Name: "vm-3", Zone: "b"}}, true)
		Expect(<-lists).To(HaveLen(3))
	})

	It("reports an empty list while the store is down, and registers once it is available", func() {
		st := &store{down: true}
		lists := start(st)
		// The empty list ends the wait for the other VMs at once. Without it, a VM
		// that started while the store was down began to read the store 2 s late.
		Eventually(lists, "500ms").Should(Receive(BeEmpty()))
		Consistently(lists, "2s").ShouldNot(Receive())
		st.mu.Lock()
		st.down = false
		st.mu.Unlock()
		Eventually(st.keys, "15s").Should(ConsistOf("vms/vm-1"))
	})

	It("lists the VMs at once when it hears that the store answers again", func() {
		st := &store{down: true, entries: []platform.Entry{{Key: "vms/vm-2", Value: []byte("b 10.0.0.2:7")}}}
		lists := make(chan []vmregistry.Node, 10)
		r := vmregistry.New(st, "vms/", self, func(nodes []vmregistry.Node) { lists <- nodes }, zerolog.New(GinkgoWriter))
		Expect(r.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(r.Stop(context.Background())).To(Succeed()) })
		Eventually(lists, "500ms").Should(Receive(BeEmpty()))
		time.Sleep(2 * time.Second) // the pause between two tries has grown
		st.mu.Lock()
		st.down = false
		st.mu.Unlock()
		r.StoreAvailable()
		Eventually(lists, "200ms").Should(Receive(ConsistOf(self, other)))
	})
})
