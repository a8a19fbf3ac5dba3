package suspects_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storewatch"
	"github.com/sapphirewall/sapphirewall/internal/suspects"
)

func TestSuspects(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suspects")
}

const (
	prefix = "p/suspects/"
	bad    = uint64(0xbad)
)

// store is an in-memory store whose writes may fail.
type store struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	leases   platform.LeaseID
	lost     map[platform.LeaseID]bool // leases that have ended
	entries  map[string]platform.Entry
	fail     []error // of the next writes; nil: none
	applies  bool    // also the writes that fail
	handlers []storewatch.Handler
}

func newStore() *store {
	return &store{entries: map[string]platform.Entry{}, lost: map[platform.LeaseID]bool{}}
}

func (s *store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, nil
}

func (s *store) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (platform.Entry, error) {
	return s.write(platform.Entry{Key: key, Value: value, Lease: lease}, expect)
}

func (s *store) Delete(_ context.Context, key string, expect uint64) error {
	_, err := s.write(platform.Entry{Key: key, Deleted: true}, expect)
	return err
}

func (s *store) write(e platform.Entry, expect uint64) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if len(s.fail) > 0 {
		err, s.fail = s.fail[0], s.fail[1:]
	}
	switch {
	case err != nil && !s.applies:
		return platform.Entry{}, err
	case s.entries[e.Key].Revision != expect:
		return platform.Entry{}, platform.ErrConflict
	case e.Lease != 0 && s.lost[e.Lease]:
		return platform.Entry{}, platform.ErrLeaseNotFound
	}
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	if e.Deleted {
		delete(s.entries, e.Key)
	}
	for _, h := range s.handlers {
		h.Apply([]platform.Entry{e})
	}
	return e, err
}

// follow hands the entries to h and every change from then on.
func (s *store) follow(ctx context.Context, _ string, h storewatch.Handler) {
	s.mu.Lock()
	s.handlers = append(s.handlers, h)
	var entries []platform.Entry
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	h.Replace(entries, s.revision)
	s.mu.Unlock()
	<-ctx.Done()
}

// crashes returns the shared number of crashes of the bad request; 0: no entry.
func (s *store) crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := strconv.Atoi(string(s.entries[prefix+strconv.FormatUint(bad, 16)].Value))
	return n
}

func start(st *store) *suspects.Board {
	b := suspects.NewBoard()
	s := suspects.NewService(b, st, st.follow, prefix, zerolog.New(GinkgoWriter))
	Expect(s.Start(context.Background(), nil)).To(Succeed())
	DeferCleanup(func() { Expect(s.Stop(context.Background())).To(Succeed()) })
	return b
}

// crash records one more crash of the bad request, which then ends.
func crash(b *suspects.Board) {
	now := time.Now()
	id, counted := b.RecordLoss(now.Add(time.Millisecond), now, bad)
	Expect(counted).To(BeTrue())
	b.Resolve(bad, id, true)
	time.Sleep(2 * time.Millisecond)
	b.RecordEnd(bad)
}

var _ = Describe("Service", func() {
	It("shares a chain of crashes among boards, and its end", func() {
		st := newStore()
		boards := []*suspects.Board{start(st), start(st), start(st)}
		for i, b := range boards {
			crash(b)
			Eventually(st.crashes, "2s").Should(Equal(i + 1))
			for _, other := range boards {
				Eventually(func() int { return other.Crashes(bad) }, "2s").Should(Equal(i + 1))
			}
		}
		for _, b := range boards {
			_, refused := b.Refuse(time.Now(), bad)
			Expect(refused).To(BeTrue())
		}
		Expect(boards[1].RecordAnswer(time.Now(), bad)).To(BeTrue())
		Eventually(st.crashes, "2s").Should(BeZero())
		for _, b := range boards {
			Eventually(func() int { return b.Crashes(bad) }, "2s").Should(BeZero())
		}
	})

	DescribeTable("shares in the end whatever a write meets", func(prepare func(st *store)) {
		st := newStore()
		b := start(st)
		prepare(st)
		crash(b)
		Eventually(st.crashes, "5s").Should(Equal(1))
		crash(b)
		Eventually(st.crashes, "5s").Should(Equal(2))
	},
		Entry("a store that is unavailable", func(st *store) {
			st.fail = []error{platform.ErrUnavailable, platform.ErrUnavailable}
		}),
		Entry("a lost reply to a write that was applied", func(st *store) {
			st.fail, st.applies = []error{platform.ErrUnknown}, true
		}),
		Entry("a lost reply to a write that was not applied", func(st *store) {
			st.fail = []error{platform.ErrUnknown}
		}),
		Entry("a lease that has ended", func(st *store) { st.lost[1] = true }),
	)

	It("uses no lease of an earlier era", func() {
		st := newStore()
		b := start(st)
		crash(b)
		Eventually(st.crashes, "2s").Should(Equal(1))
		st.mu.Lock()
		st.era++
		st.mu.Unlock()
		crash(b)
		Eventually(st.crashes, "2s").Should(Equal(2))
		st.mu.Lock()
		defer st.mu.Unlock()
		for key, e := range st.entries {
			Expect(strings.HasPrefix(key, prefix)).To(BeTrue())
			Expect(e.Lease).To(BeEquivalentTo(2))
		}
	})

	It("ignores entries that it can't read", func() {
		st := newStore()
		st.entries[prefix+"no-number"] = platform.Entry{Key: prefix + "no-number", Value: []byte("3")}
		st.entries[prefix+"bad"] = platform.Entry{Key: prefix + "bad", Value: []byte("many")}
		b := start(st)
		Consistently(func() int { return b.Crashes(bad) }, "200ms").Should(BeZero())
	})
})
