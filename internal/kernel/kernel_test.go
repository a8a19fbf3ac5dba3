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

// recordedService notes its start and stop in a shared trail.
type recordedService struct {
	name  string
	needs []string
	events *[]string
	err error
}

func (s *recordedService) Name() string    { return s.name }
func (s *recordedService) Needs() []string { return s.needs }
func (s *recordedService) Ready() error    { return s.err }

func (s *recordedService) Start(context.Context, *kernel.Kernel) error {
	*s.events = append(*s.events, "start "+s.name)
	return s.err
}

func (s *recordedService) Stop(context.Context) error {
	*s.events = append(*s.events, "stop "+s.name)
	return nil
}

// slowStopper is a service that stops as late as it may.
type slowStopper struct{}

func (slowStopper) Name() string                                { return "patient" }
func (slowStopper) Needs() []string                             { return nil }
func (slowStopper) Ready() error                                { return nil }
func (slowStopper) Start(context.Context, *kernel.Kernel) error { return nil }

func (slowStopper) Stop(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

var _ = Describe("kernel", func() {
	var events []string
	var k *kernel.Kernel
	BeforeEach(func() {
		events = nil
		k = kernel.New(zerolog.Nop())
	})
	add := func(name string, fails error, needs ...string) {
		Expect(k.Register(&recordedService{name: name, needs: needs, events: &events, err: fails})).To(Succeed())
	}

	It("starts in dependency order and stops in reverse", func() {
		add("b", nil, "a")
		add("a", nil)
		Expect(k.Start(context.Background())).To(Succeed())
		Expect(k.Stop(context.Background())).To(Succeed())
		Expect(events).To(Equal([]string{"start a", "start b", "stop b", "stop a"}))
	})

	It("leaves time of its grace for the end of the process", func() {
		Expect(k.Register(slowStopper{})).To(Succeed())
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
		Expect(events).To(Equal([]string{"start a", "start b", "stop a"}))
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
		Expect(k.Register(&recordedService{name: "a"})).To(MatchError(kernel.ErrDuplicateService))
		_, err := kernel.Lookup[interface{ Other() }](k, "a")
		Expect(err).To(MatchError(kernel.ErrServiceType))
	})
})
