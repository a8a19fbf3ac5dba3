package storerelay_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storerelay"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
)

func TestStoreRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storerelay")
}

// callTimeout is how long a call may take beside its wait.
const callTimeout = 2 * time.Second

// store is a store of one key that counts calls; it may be cut from some VMs.
type store struct {
	mu       sync.Mutex
	revision uint64
	value    string
	calls    int // of any kind
	watches  map[string]int
	cut      map[string]bool
	silent   map[string]bool // VMs whose watches hear nothing
	deaf     bool            // the history is gone: a watch that waits hears nothing
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, value: "1", watches: map[string]int{}, cut: map[string]bool{}, silent: map[string]bool{}, changed: make(chan struct{})}
}

func (s *store) set(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence makes the store answer no VM, or all again; what waits stays dead.
func (s *store) silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range 3 {
		s.silent[fmt.Sprintf("vm-%d", i)] = on
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) disconnect(vm string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[vm] = cut
	close(s.changed)
	s.changed = make(chan struct{})
}

// seenBy is the store as one VM reaches it.
type seenBy struct {
	*store
	vm string
}

func (s seenBy) Snapshot(context.Context, string) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.cut[s.vm] {
		return platform.Changes{}, platform.ErrUnavailable
	}
	return s.now(), nil
}

// Probe fails for a VM that is cut, or that the store has stopped answering.
func (s seenBy) Probe(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.cut[s.vm] || s.silent[s.vm] {
		return platform.ErrUnavailable
	}
	return nil
}

func (s seenBy) now() platform.Changes {
	return platform.Changes{Revision: s.revision, Entries: []platform.Entry{{Key: "k", Value: []byte(s.value), Revision: s.revision}}}
}

func (s seenBy) Watch(ctx context.Context, _ string, from uint64, wait time.Duration) (platform.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.watches[s.vm]++
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		cut, changed, c := s.cut[s.vm], s.changed, s.now()
		s.mu.Unlock()
		switch {
		case cut:
			return platform.Changes{}, platform.ErrUnavailable
		case s.isSilent():
			select {
			case <-ctx.Done():
			case <-time.After(wait + callTimeout):
			}
			return platform.Changes{}, platform.ErrUnavailable
		case s.isDeaf() && wait <= time.Millisecond && c.Revision > from:
			return platform.Changes{}, platform.ErrCompacted
		case c.Revision > from && !s.isDeaf():
			return c, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return platform.Changes{Revision: from}, nil
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

func (s seenBy) isDeaf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deaf
}

func (s seenBy) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[s.vm]
}

// vm is one VM with its watch.
type vm struct {
	vmregistry.Node
	service *storerelay.Service
	mu      sync.Mutex
	value   string
}

func (v *vm) Replace(entries []platform.Entry, _ uint64) { v.Apply(entries) }

func (v *vm) Apply(changes []platform.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range changes {
		v.value = string(e.Value)
	}
}
func (v *vm) Unavailable(error) {}
func (v *vm) Available()        {}

func (v *vm) get() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.value
}

// newVM starts the service of a VM that knows no other and has no watch yet.
func newVM(st *store, name, zone string, prepare func(*vm)) *vm {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	v := &vm{Node: vmregistry.Node{Name: name, Zone: zone, Addr: ln.Addr().String()}}
	Expect(ln.Close()).To(Succeed())
	v.service = storerelay.New(seenBy{st, v.Name}, "fleet", v.Node, zerolog.New(GinkgoWriter))
	prepare(v)
	Expect(v.service.Start(context.Background(), nil)).To(Succeed())
	return v
}

// watch makes a VM that knows the others follow the store.
func (v *vm) watch(others []vmregistry.Node) {
	v.service.SetNodes(others)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m := v.service.Mirror("", v)
	go func() {
		defer close(done)
		storewatch.New(v.service, "", m, zerolog.New(GinkgoWriter)).Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
		Expect(v.service.Stop(context.Background())).To(Succeed())
	})
}

// zone starts the VMs of a zone.
func zone(st *store, n int) []*vm {
	var vms []*vm
	var nodes []vmregistry.Node
	for i := range n {
		v := newVM(st, fmt.Sprintf("vm-%d", i), "a", func(*vm) {})
		vms, nodes = append(vms, v), append(nodes, v.Node)
	}
	for _, v := range vms {
		v.watch(nodes)
	}
	return vms
}

// without returns the VMs but those named, at least one.
func without(vms []*vm, names ...string) (out []*vm) {
	for _, v := range vms {
		if !slices.Contains(names, v.Name) {
			out = append(out, v)
		}
	}
	ExpectWithOffset(1, out).NotTo(BeEmpty())
	return out
}

func (s *store) watchers() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, n := range s.watches {
		if n > 0 {
			out = append(out, vm)
		}
	}
	return out
}

func expectAll(vms []*vm, value string, within time.Duration) {
	for _, v := range vms {
		EventuallyWithOffset(1, v.get, within).Should(Equal(value), v.Name)
	}
}

var _ = Describe("a zone", func() {
	It("of many VMs watches the store by two of them, and all learn of a change", func() {
		st := newStore()
		vms := zone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(time.Second) // those that began before the relays knew anything are done
		st.mu.Lock()
		clear(st.watches)
		st.mu.Unlock()
		for i := 2; i < 6; i++ {
			st.set(fmt.Sprint(i))
			expectAll(vms, fmt.Sprint(i), 5*time.Second)
		}
		Expect(len(st.watchers())).To(BeNumerically("<=", 2))
	})

	It("of few VMs watches the store by all of them", func() {
		st := newStore()
		vms := zone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		st.set("2")
		expectAll(vms, "2", 5*time.Second)
		Eventually(st.watchers, "2s").Should(HaveLen(3))
	})

	It("learns of a change within three seconds when its relays have lost the store", func() {
		st := newStore()
		vms := zone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		relays := st.watchers()
		for _, name := range relays {
			st.disconnect(name, true)
		}
		st.set("2")
		expectAll(without(vms, relays...), "2", 3*time.Second)
	})

	// The store may stop answering some VMs, relays among them, without a word
	// (grown trouble-1 of ommeren).
	It("learns of a change within four seconds when the store is silent to its relays", func() {
		st := newStore()
		vms := zone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		relays := st.watchers()
		st.mu.Lock()
		for _, name := range relays {
			st.silent[name] = true
		}
		st.mu.Unlock()
		st.set("2")
		expectAll(without(vms, relays...), "2", 4*time.Second)
	})

	// A watch that waits at the store hears nothing of a change that was made
	// before it began and whose history is gone (grown scale-1 of ishikari).
	It("asks the store without waiting when its relays have just lost it", func() {
		st := newStore()
		vms := zone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		relays := st.watchers()
		st.mu.Lock()
		st.deaf, st.value = true, "2"
		st.revision++
		st.mu.Unlock()
		for _, name := range relays {
			st.disconnect(name, true)
		}
		expectAll(without(vms, relays...), "2", 3*time.Second)
	})

	It("learns of a change within three seconds when a relay is gone", func() {
		st := newStore()
		vms := zone(st, 8)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		gone := st.watchers()[0]
		for _, v := range vms {
			if v.Name == gone {
				Expect(v.service.Stop(context.Background())).To(Succeed())
			}
		}
		st.set("2")
		expectAll(without(vms, gone), "2", 3*time.Second)
	})
})

// A watch that was waiting when the store stopped answering stays dead when it
// answers again (deploy/days/outage-then-kill-all on ishikari, seed
// 1081740324044: 3 s of silence between two probes).
var _ = Describe("a VM that reads the store itself", func() {
	It("learns of a change soon after a short silence of the store", func() {
		st := newStore()
		vms := zone(st, 3)
		expectAll(vms, "1", 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		st.silence(true)
		time.Sleep(2500 * time.Millisecond)
		st.silence(false)
		st.set("2")
		expectAll(vms, "2", 3*time.Second) // changes are due in three seconds
	})
})

var _ = Describe("Mirror", func() {
	entry := func(rev uint64, deleted bool) platform.Entry {
		return platform.Entry{Key: fmt.Sprint("k", rev%3), Revision: rev, Deleted: deleted}
	}

	It("tells what has changed after any revision since its last reading", func() {
		m := storerelay.NewMirror(&vm{})
		_, err := m.Watch(context.Background(), "", 1, 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		m.Replace([]platform.Entry{entry(3, false)}, 5)
		m.Apply([]platform.Entry{entry(6, false), entry(9, true)})
		c, err := m.Watch(context.Background(), "", 6, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(c).To(Equal(platform.Changes{Revision: 9, Entries: []platform.Entry{entry(9, true)}}))
		_, err = m.Watch(context.Background(), "", 4, 0)
		Expect(err).To(MatchError(platform.ErrCompacted))
		c, err = m.Snapshot(context.Background(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Entries).To(BeEmpty(), "k0 was written at 6 and removed at 9")
		m.Unavailable(platform.ErrUnavailable)
		_, err = m.Snapshot(context.Background(), "")
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})
})
