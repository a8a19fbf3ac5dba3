package egress

import (
	"context"
	"errors"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/stall"
	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// resendAttempt is added to the attempt of a run that the owner sends again,
// so that the upstream's two answers can be told apart.
const resendAttempt = 1 << 16

// errSilent ends a run whose connection has gone silent; errResend ends one
// that goes on over another connection.
var (
	errSilent = verdict.New(verdict.MayHaveRun, verdict.ConnectionSilent, "the connection went silent and a probe was not answered or missed the run")
	errResend = verdict.New(verdict.MayHaveRun, verdict.ConnectionSilent, "the connection went silent")
)

// runWatched makes the call, and once more on another connection if the first
// one goes silent.
func (s *Service) runWatched(ctx context.Context, r *replica, conn *upstreamclient.Conn, run *upstreamclient.Run) (upstreamclient.Answer, upstreamclient.Report, error) {
	begin := time.Now()
	answer, report, err, cause := s.runSuspicious(ctx, r, conn, run)
	r.conns.put(conn)
	if !errors.Is(cause, errResend) || err == nil {
		return answer, report, err
	}
	count("connections_silent")
	r.conns.dropOlder(begin)
	again, gerr := s.moveRun(ctx, r, run)
	if gerr != nil {
		return answer, report, err // the first verdict: it may have run
	}
	defer r.conns.put(again)
	deadline, _ := ctx.Deadline()
	run.Attempt += resendAttempt
	run.Budget = time.Until(deadline)
	answer, report, err = again.Run(ctx, run)
	if err != nil {
		err = verdict.Worse(verdict.Of(err), errResend) // the first send may have run
	}
	return answer, report, err
}

// moveRun cancels a run and returns a connection for sending it again. While
// the upstream may still work on the run, sending it again would exceed the
// replica's limit.
func (s *Service) moveRun(ctx context.Context, r *replica, run *upstreamclient.Run) (*upstreamclient.Conn, error) {
	cancelCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if err := r.conns.cancel(cancelCtx, run.RequestID, run.Attempt); err != nil {
		return nil, err
	}
	return r.conns.get(ctx)
}

// runSuspicious makes the call and watches its connection. cause is why the
// call was ended, if it was.
func (s *Service) runSuspicious(ctx context.Context, r *replica, conn *upstreamclient.Conn, run *upstreamclient.Run) (answer upstreamclient.Answer, report upstreamclient.Report, err, cause error) {
	begin := time.Now()
	w := stall.New(begin, s.settings.Egress.SilentAfter, run.Budget, r.typical(), run.Idempotent)
	runCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	timer := time.AfterFunc(time.Until(w.NextCheck()), func() { s.suspect(runCtx, end, r, conn, w) })
	defer timer.Stop()
	answer, report, err = conn.Run(runCtx, run)
	return answer, report, err, context.Cause(runCtx)
}

// suspect probes the upstream while the connection is silent, and ends the
// call when it is lost.
func (s *Service) suspect(ctx context.Context, end context.CancelCauseFunc, r *replica, conn *upstreamclient.Conn, w *stall.Monitor) {
	for ctx.Err() == nil {
		w.OnBytes(time.Now().Add(-conn.Silence()))
		if w.Decide(time.Now()) == stall.Wait {
			sleep(ctx, time.Until(w.NextCheck()))
			continue
		}
		result := s.probe(ctx, r, w.ProbeTimeout())
		if ctx.Err() != nil {
			return
		}
		switch r.judge(w, result) {
		case stall.Retry:
			end(errResend)
		case stall.Fail:
			end(errSilent)
		}
	}
}

// probe asks for the upstream's status on a new connection.
func (s *Service) probe(ctx context.Context, r *replica, patience time.Duration) stall.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	count("probes")
	st, err := r.conns.status(ctx, false)
	if err != nil {
		// No probe was sent if the number or rate of connections forbids it.
		return stall.ProbeResult{Answered: verdict.Of(err).Cause == verdict.Overload}
	}
	_, inFlight, _, _ := r.gate.counts()
	return stall.ProbeResult{Answered: true, Missing: st.InFlight < inFlight}
}

// judge asks the watch, with the replica's budget for guesses.
func (r *replica) judge(w *stall.Monitor, result stall.ProbeResult) stall.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.OnProbeResult(result, &r.guesses)
}

// typical is the time of a usual run, or 0 while it isn't known.
func (r *replica) typical() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.guesses.Sent()
	return r.latency
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
