package claims

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ServiceName is the kernel name of the service.
const ServiceName = "claims"

// The kernel names of the services that provide the platform and the fleet state.
const (
	platformName = "platform"
	controlName  = "control"
)

// The limits of a request.
const (
	maxKeyBytes        = 128
	notOwnerRetryAfter = 200 * time.Millisecond // sent with a rejection
	maxClaimWait       = time.Second
	flushTimeout       = 2 * time.Second // for queued writes at a shutdown
)

// Handler answers ClaimRequests.
type Handler interface {
	Handle(ctx context.Context, from peer.Identity, req *swpb.Envelope) (*swpb.Envelope, error)
}

// kvSource is the service that provides the platform's key-value service.
type kvSource interface{ KV() platform.KV }

// Service owns claim ranges. It is safe for concurrent use once started.
type Service struct {
	node     string
	settings settings.Platform

	kv           platform.KV
	source       fleetstate.Source
	ctx          context.Context // of the calls to the platform
	cancel       context.CancelFunc
	stop         chan struct{} // closed when no more requests are accepted
	wg           sync.WaitGroup
	granted      *expvar.Int
	refused      *expvar.Int
	lostOutcomes *expvar.Int

	mu      sync.Mutex // guards the fields below
	workers [claim.Ranges]*worker
	state   *fleetstate.State // from which rank was computed
	rank    [claim.Ranges]int // of this node by range; claim.OwnerCandidates: not a candidate
}

// Register adds the service to env.Kernel.
func Register(env *launch.Env) error {
	return env.Kernel.Register(New(env.Settings.Node.ID, env.Settings.Platform))
}

// New returns the service of a node.
func New(node string, p settings.Platform) *Service {
	m := telemetry.Map(ServiceName)
	s := &Service{node: node, settings: p, granted: counter(m, "granted"), refused: counter(m, "refused"), lostOutcomes: counter(m, "outcomes-lost-at-stop"), stop: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func counter(m *expvar.Map, name string) *expvar.Int {
	m.Add(name, 0)
	return m.Get(name).(*expvar.Int)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{platformName, controlName} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	p, err := kernel.Lookup[kvSource](k, platformName)
	if err != nil {
		return err
	}
	source, err := kernel.Lookup[fleetstate.Source](k, controlName)
	if err != nil {
		return err
	}
	s.kv, s.source = p.KV(), source
	return nil
}

// Stop implements kernel.Service. It accepts no more requests and writes the
// queued records until ctx ends or flushTimeout has passed. A claim whose outcome
// is not written stays claimed.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	close(s.stop)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, s.cancel)()
	s.wg.Wait()
	s.cancel()
	return nil
}

// isStopping reports whether the service accepts no more requests.
func (s *Service) isStopping() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// Ready implements kernel.Service. It does not depend on the platform, since
// queries are served without claims.
func (s *Service) Ready() error { return nil }

// Handle implements Handler.
func (s *Service) Handle(ctx context.Context, _ peer.Identity, env *swpb.Envelope) (*swpb.Envelope, error) {
	req := env.GetClaimRequest()
	if req == nil || req.GetKey() == "" || len(req.GetKey()) > maxKeyBytes || req.GetRequestId() == "" {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "a claim needs a key and a request id")
	}
	keyRange := claim.RangeOf(req.GetKey())
	w := s.worker(keyRange, int(req.GetRank()))
	if w == nil {
		return nil, notOwner()
	}
	rec := claim.Record{Key: req.GetKey(), Request: req.GetRequestId(), Fingerprint: req.GetFingerprint()}
	reply := &swpb.ClaimReply{}
	if req.GetSettle() {
		s.settle(ctx, w, rec, req)
	} else {
		if err := s.claim(ctx, w, rec, req, reply); err != nil {
			return nil, err
		}
		reply.Fence = &swpb.ClaimFence{Range: keyRange, Key: rec.Key, GrantedUnixMs: uint64(time.Now().UnixMilli())}
	}
	return &swpb.Envelope{Body: &swpb.Envelope_ClaimReply{ClaimReply: reply}}, nil
}

// settle queues the outcome of a request for storage. An unknown outcome leaves
// the claim as it is.
func (s *Service) settle(ctx context.Context, w *worker, rec claim.Record, req *swpb.ClaimRequest) {
	switch req.GetOutcome() {
	case swpb.Outcome_OUTCOME_UNSPECIFIED:
		rec.Status = claim.Done
	case swpb.Outcome_OUTCOME_NOT_RUN:
		rec.Status = claim.Released
	case swpb.Outcome_OUTCOME_RAN_FAILED:
		rec.Status = claim.Failed
	default:
		return
	}
	rec.Snapshot, rec.Reply = req.GetSnapshot(), req.GetReply()
	select {
	case w.ops <- op{record: rec}:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
}

// claim fills in the reply. An error means that the peer should call the next owner;
// a verdict in the reply is final for the request.
func (s *Service) claim(ctx context.Context, w *worker, rec claim.Record, req *swpb.ClaimRequest, reply *swpb.ClaimReply) error {
	budget := time.Duration(req.GetBudgetUs()) * time.Microsecond
	ctx, cancel := context.WithTimeout(ctx, min(budget, maxClaimWait))
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	r, err := w.claim(ctx, rec)
	if errors.Is(err, errStopped) {
		return notOwner()
	}
	if err != nil {
		r.Verdict = verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the claim was not stored in time").WithRetryAfter(notOwnerRetryAfter)
	}
	switch {
	case r.Verdict != nil && r.Verdict.Cause == verdict.NotOwner:
		return r.Verdict
	case r.Verdict != nil:
		s.refused.Add(1)
		reply.Verdict = verdict.ToProto(r.Verdict)
	case r.Executed != nil:
		reply.Known = true
		reply.Snapshot, reply.Reply, reply.ReplyLost = r.Executed.Snapshot, r.Executed.Reply, r.Executed.ReplyLost
		if r.Executed.Status == claim.Failed {
			reply.Outcome = swpb.Outcome_OUTCOME_RAN_FAILED
		}
	default:
		s.granted.Add(1)
		reply.Granted = true
	}
	return nil
}

func notOwner() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NotOwner, "another control process owns the range").WithRetryAfter(notOwnerRetryAfter)
}

// worker returns the worker of a range if this node may own the range for a peer
// that has tried the given number of better-ranked nodes, or else nil.
func (s *Service) worker(keyRange uint32, tried int) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateRanks(s.source.Current())
	if s.rank[keyRange] > min(tried, claim.OwnerCandidates-1) || s.isStopping() {
		return nil
	}
	if s.workers[keyRange] == nil {
		w := newWorker(newStore(s.kv, s.settings.Prefix, keyRange), s.settings.Timeout, s.lostOutcomes)
		s.workers[keyRange] = w
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			w.run(s.ctx, s.stop)
		}()
	}
	return s.workers[keyRange]
}

// updateRanks computes this node's rank for each range from the members of state.
func (s *Service) updateRanks(state *fleetstate.State) {
	if s.state == state {
		return
	}
	s.state = state
	nodes := ownership.NewIndex(fleetstate.Candidates(state.Members, fleetstate.ControlAddrOf))
	for r := range s.rank {
		s.rank[r] = claim.OwnerCandidates
		if i := slices.Index(claim.Owners(nodes, uint32(r)), s.node); i >= 0 {
			s.rank[r] = i
		}
	}
}
