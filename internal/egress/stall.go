package egress

import (
	"context"
	"errors"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/stall"
	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// retryAttemptOffset is added to the attempt number when the owner itself
// retries an attempt, so that the two answers of the upstream can be
// distinguished.
const retryAttemptOffset = 1 << 16

// errStalled ends an attempt whose connection has stalled; errRetryStalled ends
// one that is retried over another connection.
var (
	errStalled      = verdict.New(verdict.MayHaveRun, verdict.ConnectionSilent, "the connection went silent and a probe was not answered or missed the run")
	errRetryStalled = verdict.New(verdict.MayHaveRun, verdict.ConnectionSilent, "the connection went silent")
)

// callWithRetry calls the upstream, and once more on another connection if the
// first one stalls.
func (s *Service) callWithRetry(ctx context.Context, r *replica, conn *upstreamclient.Conn, attempt *upstreamclient.Attempt) (upstreamclient.Answer, upstreamclient.Report, error) {
	startTime := time.Now()
	answer, report, err, cause := s.callMonitored(ctx, r, conn, attempt)
	r.conns.put(conn)
	if !errors.Is(cause, errRetryStalled) || err == nil {
		return answer, report, err
	}
	count("connections_silent")
	r.conns.dropOlder(startTime)
	retryConn, retryErr := s.prepareRetry(ctx, r, attempt)
	if retryErr != nil {
		return answer, report, err // the verdict of the first call: it may have been executed
	}
	defer r.conns.put(retryConn)
	deadline, _ := ctx.Deadline()
	attempt.Number += retryAttemptOffset
	attempt.Budget = time.Until(deadline)
	answer, report, err = retryConn.Do(ctx, attempt)
	if err != nil {
		err = verdict.Worse(verdict.Of(err), errRetryStalled) // the first call may have been executed
	}
	return answer, report, err
}

// prepareRetry cancels an attempt and returns a connection for retrying it. If
// the upstream were still executing the attempt, the retry would exceed the
// replica's limit.
func (s *Service) prepareRetry(ctx context.Context, r *replica, attempt *upstreamclient.Attempt) (*upstreamclient.Conn, error) {
	cancelCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if err := r.conns.cancel(cancelCtx, attempt.RequestID, attempt.Number); err != nil {
		return nil, err
	}
	return r.conns.get(ctx)
}

// callMonitored calls the upstream and watches the connection for a stall.
// cause is the reason if the call was ended early.
func (s *Service) callMonitored(ctx context.Context, r *replica, conn *upstreamclient.Conn, attempt *upstreamclient.Attempt) (answer upstreamclient.Answer, report upstreamclient.Report, err, cause error) {
	startTime := time.Now()
	m := stall.New(startTime, s.settings.Egress.SilentAfter, attempt.Budget, r.smoothedLatency(), attempt.Idempotent)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(m.NextCheck()), func() { s.handleStall(callCtx, cancel, r, conn, m) })
	defer timer.Stop()
	answer, report, err = conn.Do(callCtx, attempt)
	return answer, report, err, context.Cause(callCtx)
}

// handleStall probes the upstream while the connection receives no bytes, and
// ends the call when the monitor decides to retry or fail it.
func (s *Service) handleStall(ctx context.Context, cancel context.CancelCauseFunc, r *replica, conn *upstreamclient.Conn, m *stall.Monitor) {
	for ctx.Err() == nil {
		m.OnBytes(time.Now().Add(-conn.SinceLastByte()))
		if m.Decide(time.Now()) == stall.Wait {
			sleep(ctx, time.Until(m.NextCheck()))
			continue
		}
		result := s.probe(ctx, r, m.ProbeTimeout())
		if ctx.Err() != nil {
			return
		}
		switch r.onProbeResult(m, result) {
		case stall.Retry:
			cancel(errRetryStalled)
		case stall.Fail:
			cancel(errStalled)
		}
	}
}

// probe requests the upstream's status on a new connection.
func (s *Service) probe(ctx context.Context, r *replica, timeout time.Duration) stall.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	count("probes")
	st, err := r.conns.status(ctx, false)
	if err != nil {
		// Overload means that the limits on connections prevented the probe, which
		// is no sign of a fault.
		return stall.ProbeResult{Answered: verdict.Of(err).Cause == verdict.Overload}
	}
	_, inFlight, _, _ := r.gate.counts()
	return stall.ProbeResult{Answered: true, Missing: st.InFlight < inFlight}
}

// onProbeResult returns the monitor's decision, with the replica's budget for
// retries.
func (r *replica) onProbeResult(m *stall.Monitor, result stall.ProbeResult) stall.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.OnProbeResult(result, &r.retryBudget)
}

// smoothedLatency counts an attempt in the retry budget and returns the smoothed
// latency of the replica, or 0 if it is unknown.
func (r *replica) smoothedLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.Sent()
	return r.latency
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
