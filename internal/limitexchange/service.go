package limitexchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "limit-exchange"

// The intervals and timeouts of the service.
const (
	// newsInterval is the time between two exchanges within newsTime of a change,
	// quietInterval at other times.
	newsInterval  = 250 * time.Millisecond
	quietInterval = 2 * time.Second
	newsTime      = 3 * time.Second
	callTimeout   = time.Second
)

// Tier is the part of package direct that the service uses.
type Tier interface {
	LimitReports(now time.Time) (reports []upstreamlimit.Report, changedAt time.Time)
	MergeLimits(now time.Time, reports []upstreamlimit.Report)
}

// CallFunc calls the service of another VM, at an address.
type CallFunc func(ctx context.Context, addr string, env *swpb.Envelope) (*swpb.Envelope, error)

// Service implements kernel.Service.
type Service struct {
	self string
	tier Tier
	call CallFunc
	log  zerolog.Logger

	mu     sync.Mutex // guards others
	others []string   // addresses of the other VMs

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
	tick := time.NewTicker(newsInterval)
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if s.due(now, last) {
				last = now
				s.exchange(ctx)
			}
		}
	}
}

// due reports whether an exchange is due after the last one.
func (s *Service) due(now, last time.Time) bool {
	reports, changedAt := s.tier.LimitReports(now)
	if len(reports) == 0 {
		return false
	}
	return now.Sub(changedAt) < newsTime || now.Sub(last) >= quietInterval
}

// exchange exchanges limits with another VM.
func (s *Service) exchange(ctx context.Context) {
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
	reply, err := s.call(ctx, addr, &swpb.Envelope{Body: &swpb.Envelope_LimitExchange{LimitExchange: s.known(time.Now())}})
	if err != nil {
		s.log.Debug().Err(err).Str("peer", addr).Msg("VM did not answer an exchange of limits")
		return
	}
	s.merge(reply.GetLimitExchange())
}

// Handle answers the exchange of another VM.
func (s *Service) Handle(x *swpb.LimitExchange) *swpb.LimitExchange {
	reply := s.known(time.Now())
	s.merge(x)
	return reply
}

// known returns the limits that this VM knows.
func (s *Service) known(now time.Time) *swpb.LimitExchange {
	reports, _ := s.tier.LimitReports(now)
	x := &swpb.LimitExchange{}
	for _, r := range reports {
		x.Limits = append(x.Limits, &swpb.UpstreamLimit{
			Upstream: r.Upstream, Start: r.Start, PerSecond: r.Rate, AgeMs: uint64(max(0, now.Sub(r.HeardAt).Milliseconds())),
		})
	}
	return x
}

// merge applies the limits that another VM knows. Rates are checked as those in answers
// are; a rate that is not usable is ignored.
func (s *Service) merge(x *swpb.LimitExchange) {
	now := time.Now()
	var reports []upstreamlimit.Report
	for _, l := range x.GetLimits() {
		r := upstreamlimit.Report{Upstream: l.GetUpstream(), Start: l.GetStart(), HeardAt: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)}
		if l.GetPerSecond() != 0 {
			notice := upstreamlimit.NewNotice(l.GetPerSecond())
			if notice.Kind != upstreamlimit.Named {
				continue
			}
			r.Rate = notice.Rate
		}
		reports = append(reports, r)
	}
	if len(reports) > 0 {
		s.tier.MergeLimits(now, reports)
	}
}
