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

// recordedService appends its starts and stops to a shared list of events.
type recordedService struct {
	name   string
	needs  []string
	events *[]string
	err    error
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

// slowStopper is a service whose Stop blocks until ctx ends.
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
	add := func(name string, err error, needs ...string) {
		Expect(k.Register(&recordedService{name: name, needs: needs, events: &events, err: err})).To(Succeed())
	}

	It("starts services in dependency order and stops them in reverse order", func() {
		add("b", nil, "a")
		add("a", nil)
		Expect(k.Start(context.Background())).To(Succeed())
		Expect(k.Stop(context.Background())).To(Succeed())
		Expect(events).To(Equal([]string{"start a", "start b", "stop b", "stop a"}))
	})

	It("reserves part of the grace period for the process to exit", func() {
		Expect(k.Register(slowStopper{})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		begin := time.Now()
		Expect(k.Run(ctx, time.Second)).To(Succeed())
		Expect(time.Since(begin)).To(BeNumerically("<", 950*time.Millisecond))
	})

	It("stops the started services when a service fails to start", func() {
		broken := errors.New("broken")
		add("a", nil)
		add("b", broken, "a")
		Expect(k.Start(context.Background())).To(MatchError(broken))
		Expect(events).To(Equal([]string{"start a", "start b", "stop a"}))
		Expect(k.Ready()).To(MatchError("b: broken"))
	})

	It("names a missing service and the service that needs it", func() {
		add("a", nil, "z")
		err := k.Start(context.Background())
		Expect(err).To(MatchError(kernel.ErrServiceNotFound))
		Expect(err).To(MatchError(ContainSubstring(`"z", needed by "a"`)))
	})

	It("rejects cyclic dependencies, duplicate names and wrong types", func() {
		add("a", nil, "b")
		add("b", nil, "a")
		Expect(k.Start(context.Background())).To(MatchError(kernel.ErrServiceCycle))
		Expect(k.Register(&recordedService{name: "a"})).To(MatchError(kernel.ErrDuplicateService))
		_, err := kernel.Lookup[interface{ Other() }](k, "a")
		Expect(err).To(MatchError(kernel.ErrServiceType))
	})
})
