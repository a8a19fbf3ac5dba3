package roster_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/roster"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

// store holds entries that never lapse, and can be down.
type store struct {
	mu      sync.Mutex
	names   []string
	down    bool
	renewed int
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
	s.renewed++
	return s.err()
}

func (s *store) CompareAndSwap(_ context.Context, key string, _ uint64, _ []byte, _ platform.LeaseID) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Entry{}, errors.Join(platform.ErrUnavailable)
	}
	s.names = append(s.names, key)
	return platform.Entry{}, nil
}

func (s *store) Names(context.Context, string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.names...), s.err()
}

var _ = Describe("Service", func() {
	start := func(st *store) chan []string {
		told := make(chan []string, 10)
		r := roster.New(st, "vms/", "vm-1", func(nodes []string) { told <- nodes }, zerolog.New(GinkgoWriter))
		Expect(r.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(r.Stop(context.Background())).To(Succeed()) })
		return told
	}

	It("enters itself and tells all VMs", func() {
		told := start(&store{names: []string{"vms/vm-2"}})
		var nodes []string
		Eventually(told, "5s").Should(Receive(&nodes))
		Expect(nodes).To(ConsistOf("vm-1", "vm-2"))
	})

	It("tells nothing while the store is down, and enters once it is back", func() {
		st := &store{down: true}
		told := start(st)
		Consistently(told, "2s").ShouldNot(Receive())
		st.mu.Lock()
		st.down = false
		st.mu.Unlock()
		Eventually(func() []string { st.mu.Lock(); defer st.mu.Unlock(); return st.names }, "5s").Should(ConsistOf("vms/vm-1"))
	})
})
