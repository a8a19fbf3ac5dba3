package kernel_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
)

func TestKernel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kernel")
}

// step notes its start and stop in a shared trail.
type step struct {
	name  string
	needs []string
	trail *[]string
	fails error
}

func (s *step) Name() string    { return s.name }
func (s *step) Needs() []string { return s.needs }
func (s *step) Ready() error    { return s.fails }

func (s *step) Start(context.Context, *kernel.Kernel) error {
	*s.trail = append(*s.trail, "start "+s.name)
	return s.fails
}

func (s *step) Stop(context.Context) error {
	*s.trail = append(*s.trail, "stop "+s.name)
	return nil
}

// patient is a service that stops as late as it may.
type patient struct{}

func (patient) Name() string                                { return "patient" }
func (patient) Needs() []string                             { return nil }
func (patient) Ready() error                                { return nil }
func (patient) Start(context.Context, *kernel.Kernel) error { return nil }

func (patient) Stop(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

var _ = Describe("kernel", func() {
	var trail []string
	var k *kernel.Kernel
	BeforeEach(func() {
		trail = nil
		k = kernel.New(zerolog.Nop())
	})
	add := func(name string, fails error, needs ...string) {
		Expect(k.Register(&step{name: name, needs: needs, trail: &trail, fails: fails})).To(Succeed())
	}

	It("starts in dependency order and stops in reverse", func() {
		add("b", nil, "a")
		add("a", nil)
		Expect(k.Start(context.Background())).To(Succeed())
		Expect(k.Stop(context.Background())).To(Succeed())
		Expect(trail).To(Equal([]string{"start a", "start b", "stop b", "stop a"}))
	})

	It("leaves time of its grace for the end of the process", func() {
		Expect(k.Register(patient{})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		begin := time.Now()
		Expect(k.Run(ctx, time.Second)).To(Succeed())
		Expect(time.Since(begin)).To(BeNumerically("<", 950*time.Millisecond))
	})

	It("stops what had started when a service fails", func() {
		broken := errors.New("broken")
		add("a", nil)
		add("b", broken, "a")
		Expect(k.Start(context.Background())).To(MatchError(broken))
		Expect(trail).To(Equal([]string{"start a", "start b", "stop a"}))
		Expect(k.Ready()).To(MatchError("b: broken"))
	})

	It("names a missing service and who needs it", func() {
		add("a", nil, "z")
		err := k.Start(context.Background())
		Expect(err).To(MatchError(kernel.ErrServiceNotFound))
		Expect(err).To(MatchError(ContainSubstring(`"z", needed by "a"`)))
	})

	It("refuses cycles, duplicates and wrong types", func() {
		add("a", nil, "b")
		add("b", nil, "a")
		Expect(k.Start(context.Background())).To(MatchError(kernel.ErrServiceCycle))
		Expect(k.Register(&step{name: "a"})).To(MatchError(kernel.ErrDuplicateService))
		_, err := kernel.Lookup[interface{ Other() }](k, "a")
		Expect(err).To(MatchError(kernel.ErrServiceType))
	})
})
