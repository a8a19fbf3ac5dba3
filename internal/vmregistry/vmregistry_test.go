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

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

// store holds entries that never lapse, and can be down.
type store struct {
	mu      sync.Mutex
	entries []platform.Entry
	down    bool
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
	return 1, s.err()
}

func (s *store) Renew(context.Context, platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err()
}

func (s *store) Put(_ context.Context, key string, value []byte, _ platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnavailable
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
		told := make(chan []vmregistry.Node, 10)
		r := vmregistry.New(st, "vms/", self, func(nodes []vmregistry.Node) { told <- nodes }, zerolog.New(GinkgoWriter))
		Expect(r.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(r.Stop(context.Background())).To(Succeed()) })
		return told
	}

	It("tells a VM that is back of the others at once, and enters it", func() {
		st := &store{entries: []platform.Entry{{Key: "vms/vm-2", Value: []byte("b 10.0.0.2:7")}}}
		told := start(st)
		var nodes []vmregistry.Node
		Eventually(told, "1s").Should(Receive(&nodes))
		Expect(nodes).To(ConsistOf(self, other))
		Eventually(st.keys, "1s").Should(ConsistOf("vms/vm-1", "vms/vm-2"))
	})

	It("lets VMs that start together find each other soon", func() {
		st := &store{}
		told := start(st)
		var nodes []vmregistry.Node
		Eventually(told, "4s").Should(Receive(&nodes))
		Expect(nodes).To(ConsistOf(self))
	})

	It("goes on counting the VMs that another one knows when their entries have lapsed", func() {
		told := make(chan []vmregistry.Node, 10)
		r := vmregistry.New(&store{}, "vms/", self, func(nodes []vmregistry.Node) { told <- nodes }, zerolog.New(GinkgoWriter))
		r.Observe([]vmregistry.Node{other}, true)
		Expect(<-told).To(ConsistOf(self, other))
		Expect(r.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(r.Stop(context.Background())).To(Succeed()) })
		var nodes []vmregistry.Node
		Eventually(told, "4s").Should(Receive(&nodes)) // the store has this VM's entry alone
		Expect(nodes).To(ConsistOf(self, other))
	})

	It("does not take a VM that it has met for all", func() {
		told := make(chan []vmregistry.Node, 10)
		r := vmregistry.New(&store{}, "vms/", self, func(nodes []vmregistry.Node) { told <- nodes }, zerolog.New(GinkgoWriter))
		r.Observe([]vmregistry.Node{other}, false)
		Expect(told).NotTo(Receive())
		r.Observe([]vmregistry.Node{{Name: "vm-3", Zone: "b"}}, true)
		Expect(<-told).To(HaveLen(3))
	})

	It("tells that nobody is known while the store is down, and enters once it is back", func() {
		st := &store{down: true}
		told := start(st)
		// Those who wait for the others learn at once that they needn't: a VM
		// that started while the store was down began 2 s late to read it.
		Eventually(told, "500ms").Should(Receive(BeEmpty()))
		Consistently(told, "2s").ShouldNot(Receive())
		st.mu.Lock()
		st.down = false
		st.mu.Unlock()
		Eventually(st.keys, "15s").Should(ConsistOf("vms/vm-1"))
	})
})
