package handover

import (
	"context"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/helpers"
	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/direct"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

const (
	// maxHelpers is the number of VMs that a request is handed over to, one after the
	// other, while it is known not to have run.
	maxHelpers = 3
)

// Serve answers a caller's request.
func (s *Service) Serve(req *direct.Request) *direct.Answer {
	h := &direct.HandOver{MaxAttempts: req.MaxAttempts, Counted: req.Counted}
	if cuts := s.cut.Load(); cuts != nil {
		if a, ok := s.viaOther(req, cuts.Has, h); ok {
			return a
		}
		req.MayHandOver = len(cuts.Degraded) > 0 && s.hasHelper(req, cuts)
	}
	if v := s.refuse(req); v != nil {
		s.metrics.Add("refused", 1)
		s.log.Info("handover").Str("id", req.ID).Str("verdict", v.Outcome.String()).Str("detail", v.Detail).Msg("request refused")
		return &direct.Answer{Refusal: verdict.Worse(v, h.Refusal)}
	}
	s.mu.Lock()
	req.Leave = s.leave
	s.mu.Unlock()
	a := s.serveHere(req, h)
	if a.HandOver == nil {
		return a
	}
	return s.leaveTo(req, a.HandOver)
}

// leaveTo has another VM serve a request that was begun here. One that got no connection
// here is served here after all if no other VM takes it.
func (s *Service) leaveTo(req *direct.Request, h *direct.HandOver) *direct.Answer {
	lost := func(string) bool { return false }
	if cuts := s.cut.Load(); cuts != nil {
		lost = cuts.Impaired
	}
	a, ok := s.viaOther(req, lost, h)
	switch {
	case !ok:
		a = &direct.Answer{Refusal: h.Refusal}
	case a.Refusal == nil || !s.tryAnother(req, a):
		return a
	}
	if !h.Unconnected || a.Refusal.Outcome != verdict.NotRun {
		return a
	}
	s.metrics.Add("returned", 1)
	req.MayHandOver, req.Leave = false, nil
	return s.serveHere(req, h)
}

// serveHere serves a request of which something may have run before, as far as that leaves
// attempts. The verdict covers both.
func (s *Service) serveHere(req *direct.Request, h *direct.HandOver) *direct.Answer {
	req.MaxAttempts, req.Counted = h.MaxAttempts, h.Counted
	a := s.tier.Serve(req)
	switch {
	case h.Refusal == nil:
	case a.HandOver != nil:
		a.HandOver.Refusal = verdict.Worse(a.HandOver.Refusal, h.Refusal)
	case a.Refusal != nil:
		return &direct.Answer{Refusal: verdict.Worse(a.Refusal, h.Refusal)}
	}
	return a
}

// hasHelper reports whether another VM says that it reaches more of the pools that a request
// needs than this one.
func (s *Service) hasHelper(req *direct.Request, cuts *reach.Cuts) bool {
	need, known := s.tier.NeedOf(req)
	if !known {
		return false
	}
	here := need.Missing(cuts.Impaired)
	s.mu.Lock()
	defer s.mu.Unlock()
	return here > 0 && s.helpers.Any(time.Now(), betterThan(&need, here))
}

// viaOther has another VM serve a request that can't be served whole here, for want of the
// pools that are lost. ok is false if no other VM can do better, or none takes it and it can
// be served in part here. h is what is known of the request: its refusal is the verdict on
// what was sent before, or nil: it may have run, whatever the other VM says. It is updated
// when a VM hands the request back.
func (s *Service) viaOther(req *direct.Request, lost func(pool string) bool, h *direct.HandOver) (a *direct.Answer, ok bool) {
	need, known := s.tier.NeedOf(req)
	if !known || need.Missing(lost) == 0 {
		return nil, false
	}
	var tried []string
	for len(tried) < maxHelpers {
		if v := s.refusal(req, &need, h.Refusal); v != nil {
			return &direct.Answer{Refusal: v}, true
		}
		c, found := s.choose(&need, lost, tried)
		if !found {
			break
		}
		tried = append(tried, c.Name)
		a = s.handOver(req, c, &need, h.MaxAttempts, h.Counted)
		if a.HandOver != nil {
			h.Counted, h.MaxAttempts, h.Refusal = a.HandOver.Counted, a.HandOver.MaxAttempts, verdict.Worse(h.Refusal, a.HandOver.Refusal)
			a = &direct.Answer{Refusal: h.Refusal}
			continue
		}
		again := s.tryAnother(req, a)
		if a.Refusal != nil {
			a = &direct.Answer{Refusal: verdict.Worse(a.Refusal, h.Refusal)}
		}
		if !again {
			return a, true
		}
	}
	return a, a != nil && !need.ServableWithout(lost)
}

// refusal returns why a request must not be handed over now, or nil: its key may have been
// revoked since the former VM was asked. It brings need up to date.
func (s *Service) refusal(req *direct.Request, need *direct.Need, before *verdict.Error) *verdict.Error {
	if now, known := s.tier.NeedOf(req); known {
		*need = now
	}
	if need.Refusal == nil {
		return nil
	}
	s.metrics.Add("refused_"+string(need.Refusal.Cause), 1)
	s.log.Info("handover").Str("id", req.ID).Str("cause", string(need.Refusal.Cause)).Str("detail", need.Refusal.Detail).Msg("request not handed over")
	return verdict.Worse(need.Refusal, before)
}

// refuse returns a refusal while no replica can be reached from here or through another
// VM, or nil. A key that can't be accepted is refused as such.
func (s *Service) refuse(req *direct.Request) *verdict.Error {
	cuts := s.cut.Load()
	if cuts == nil || !cuts.All || cuts.Heard || time.Since(cuts.Began) < 2*askTimeout {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.helpers.Any(time.Now(), func(map[string]bool) bool { return true }) {
		return nil
	}
	if need, known := s.tier.NeedOf(req); known && need.Refusal != nil {
		return need.Refusal
	}
	return verdict.New(verdict.NotRun, verdict.NoReplica, "no replica can be reached, and no other VM says that it reaches any").WithRetryAfter(s.jitter(helpers.AskInterval))
}

// jitter returns a random time between d and 2 d, so that callers don't come back
// together. s.mu is held.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rng.Int64N(int64(d)))
}

// choose chooses a VM that reaches more of the pools that a request needs than this one.
func (s *Service) choose(need *direct.Need, lost func(pool string) bool, tried []string) (helpers.Choice, bool) {
	here := need.Missing(lost)
	s.mu.Lock()
	defer s.mu.Unlock()
	if need.Allowed != nil {
		tried = slices.Clone(tried)
		for name, region := range s.regions {
			if !need.Allowed(region) {
				tried = append(tried, name)
			}
		}
	}
	return s.helpers.Choose(time.Now(), betterThan(need, here), tried)
}

// betterThan returns a function that reports whether a VM that has lost some pools can serve
// a request, and lacks fewer of its pools than a number.
func betterThan(need *direct.Need, here int) func(lost map[string]bool) bool {
	return func(lost map[string]bool) bool {
		isLost := func(pool string) bool { return lost[pool] }
		return need.Missing(isLost) < here && need.ServableWithout(isLost)
	}
}

// tryAnother reports whether a request should be handed over to another VM: it has not
// run, for a reason that doesn't hold for all VMs, and the caller still waits.
func (s *Service) tryAnother(req *direct.Request, a *direct.Answer) bool {
	v := a.Refusal
	if v == nil || v.Outcome != verdict.NotRun {
		return false
	}
	select {
	case <-req.Disconnected:
		return false
	case <-req.Terminating:
		return false
	default:
	}
	switch v.Cause {
	case verdict.PeerLost, verdict.ShuttingDown, verdict.Overload, verdict.NoReplica, verdict.NotReady, verdict.KeysOutdated, verdict.ConnectFailed:
		return true
	}
	return false
}

// handOver hands a request over to one VM and returns its answer.
func (s *Service) handOver(req *direct.Request, c helpers.Choice, need *direct.Need, maxAttempts int, counted bool) *direct.Answer {
	begin := time.Now()
	endSpan := s.tier.StartHandover(req, c.Name)
	ctx, cancel := contextOf(req, s.deadline(req, need))
	defer cancel()
	msg := toProto(req, need, begin.Sub(req.Arrived)+c.RoundTrip, maxAttempts, counted)
	env, err := s.pool.Get(c.Addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_HandoverRequest{HandoverRequest: msg}})
	var a *direct.Answer
	if err != nil {
		a = &direct.Answer{Refusal: verdict.Of(err).WithRetryAfter(helpers.AskInterval)}
	} else {
		a = answerFromProto(env.GetHandoverReply(), s.cfg.SingleFields...)
		req.Account.Force(bodyBytes(a))
	}
	s.mu.Lock()
	s.helpers.Done(time.Now(), c.Name, a.HandOver != nil || a.Refusal != nil && (a.Refusal.Cause == verdict.PeerLost || a.Refusal.Cause == verdict.ConnectFailed))
	s.mu.Unlock()
	endSpan(outcomeOf(a))
	s.logHandover(req, c, a, time.Since(begin))
	return a
}

// bodyBytes is the size of an answer's body.
func bodyBytes(a *direct.Answer) int {
	switch {
	case a.Gathered != nil:
		return len(a.Gathered.Body)
	case a.Reply != nil:
		return len(a.Reply.Body)
	}
	return 0
}

// deadline is when the caller has to have an answer.
func (s *Service) deadline(req *direct.Request, need *direct.Need) time.Time {
	return req.Arrived.Add(req.Limit(need.Deadline))
}

// contextOf returns a context that ends at the deadline, or when the caller has left or
// the process has to end.
func contextOf(req *direct.Request, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	go func() {
		select {
		case <-req.Disconnected:
			cancel()
		case <-req.Terminating:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// outcomeOf is the outcome of a request in logs and spans.
func outcomeOf(a *direct.Answer) string {
	switch {
	case a.HandOver != nil:
		return "handed-back"
	case a.Refusal != nil:
		return string(a.Refusal.Cause)
	}
	return "answered"
}

func (s *Service) logHandover(req *direct.Request, c helpers.Choice, a *direct.Answer, took time.Duration) {
	outcome := outcomeOf(a)
	s.metrics.Add("sent_"+outcome, 1)
	e := s.log.Info("handover").Str("id", req.ID).Str("vm", c.Name).Str("outcome", outcome).Dur("took", took).Dur("round_trip", c.RoundTrip)
	if a.Refusal != nil {
		e = e.Str("verdict", a.Refusal.Outcome.String()).Str("detail", a.Refusal.Detail)
	}
	e.Msg("request handed over to another VM")
}
