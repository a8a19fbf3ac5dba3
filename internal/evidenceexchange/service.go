package evidenceexchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "evidence-exchange"

const (
	// interval is the time between two exchanges that a VM starts. The evidence of many
	// VMs is known to all of 81 within about 1.5 s.
	interval = 500 * time.Millisecond
	// maxAnswers is the number of exchanges that a VM answers in answerWindow. With the
	// two that it starts, it sends 3 KB/s at most, and half of that on average.
	maxAnswers   = 4
	answerWindow = time.Second
	// callTimeout is short, since evidence loses its weight within seconds.
	callTimeout = 500 * time.Millisecond
)

// Tier is the part of package direct that the service uses.
type Tier interface {
	// EvidenceMessage returns what this VM knows; nil: nothing.
	EvidenceMessage(now time.Time) []byte
	MergeEvidence(now time.Time, msg []byte)
}

// CallFunc calls the service of another VM, at an address.
type CallFunc func(ctx context.Context, addr string, env *swpb.Envelope) (*swpb.Envelope, error)

// Service implements kernel.Service.
type Service struct {
	self string
	tier Tier
	call CallFunc
	log  zerolog.Logger

	mu       sync.Mutex  // guards the fields below
	others   []string    // addresses of the other VMs
	answered []time.Time // exchanges answered within answerWindow, oldest first

	stop context.CancelFunc
	done chan struct{}
}

// New returns the service of the VM self.
func New(self string, tier Tier, call CallFunc, log zerolog.Logger) *Service {
	return &Service{self: self, tier: tier, call: call, log: log, done: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Ready implements kernel.Service: a VM can serve without it.
func (s *Service) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.stop = context.WithCancel(ctx)
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.stop()
	<-s.done
	return nil
}

// SetNodes sets the VMs that serve, including this one.
func (s *Service) SetNodes(nodes []vmregistry.Node) {
	var others []string
	for _, n := range nodes {
		if n.Name != s.self && n.Addr != "" {
			others = append(others, n.Addr)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = others
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if msg := s.tier.EvidenceMessage(now); msg != nil {
				s.exchange(ctx, msg)
			}
		}
	}
}

// exchange exchanges evidence with another VM.
func (s *Service) exchange(ctx context.Context, msg []byte) {
	s.mu.Lock()
	var addr string
	if n := len(s.others); n > 0 {
		addr = s.others[rand.IntN(n)]
	}
	s.mu.Unlock()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.call(ctx, addr, envelope(msg))
	if err != nil {
		s.log.Debug().Err(err).Str("peer", addr).Msg("VM did not answer an exchange of evidence")
		return
	}
	s.tier.MergeEvidence(time.Now(), reply.GetEvidenceExchange().GetReplicas())
}

// Handle answers the exchange of another VM.
func (s *Service) Handle(x *swpb.EvidenceExchange) *swpb.EvidenceExchange {
	now := time.Now()
	reply := &swpb.EvidenceExchange{}
	if s.mayAnswer(now) {
		reply.Replicas = s.tier.EvidenceMessage(now)
	}
	s.tier.MergeEvidence(now, x.GetReplicas())
	return reply
}

// mayAnswer reports whether the answer to one more exchange is within maxAnswers, and if
// so counts it.
func (s *Service) mayAnswer(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.answered) > 0 && now.Sub(s.answered[0]) >= answerWindow {
		s.answered = s.answered[1:]
	}
	if len(s.answered) >= maxAnswers {
		return false
	}
	s.answered = append(s.answered, now)
	return true
}

func envelope(msg []byte) *swpb.Envelope {
	return &swpb.Envelope{Body: &swpb.Envelope_EvidenceExchange{EvidenceExchange: &swpb.EvidenceExchange{Replicas: msg}}}
}
