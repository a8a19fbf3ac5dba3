package direct

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// crashCheckDelay is the time between the loss of a connection and the check whether its
// replica has crashed. A process that ends closes its connections and its listener within
// it, and the platform starts a replica again only after seconds.
const crashCheckDelay = 50 * time.Millisecond

// loss is a connection that was lost with a request in flight and counts as a crash by
// that request until its replica has been checked.
type loss struct {
	id          poison.LossID
	at          time.Time
	request     string // ID
	fingerprint uint64
}

// observeCrash records whether the request may have crashed the replica: its
// connection was lost after the request may have been executed. Only a success is
// proof of the contrary, since a replica that fails for other reasons may reply with
// an error before it executes the request. s.mu is held.
func (a *attempt) observeCrash(now time.Time) {
	s, w, fp := a.call.s, &a.wire, a.call.fingerprint
	switch {
	case w.Reply != nil && w.Reply.OK():
		if s.suspects.RecordAnswer(now, fp) {
			s.metrics.add("suspect_answered", 1)
			s.suspectLine(a.call.req.ID, a.replica, fp).Int("status", w.Reply.Status).Msg("suspicion ended by an answer")
		}
	case w.Err != nil && w.Err.Cause == verdict.ConnectionLost && w.Err.Outcome == verdict.MayHaveRun:
		a.observeLoss(now)
	}
}

// observeLoss counts the loss of the attempt's connection as a crash until the replica has
// been checked. s.mu is held.
func (a *attempt) observeLoss(now time.Time) {
	s, r, fp := a.call.s, a.replica, a.call.fingerprint
	id, counted := s.suspects.RecordLoss(now, a.wire.SentAt, fp)
	if a.call.unanswered {
		s.suspects.RecordEnd(fp)
	}
	_, refused := s.suspects.Refuse(now, fp)
	s.metrics.add("suspect_loss", 1)
	s.suspectLine(a.call.req.ID, r, fp).Stringer("extra", a.kind).Bool("counted", counted).Bool("refused", refused).Msg("connection lost with this request in flight")
	if !counted {
		return
	}
	r.losses = append(r.losses, loss{id: id, at: now, request: a.call.req.ID, fingerprint: fp})
	if len(r.losses) == 1 {
		time.AfterFunc(crashCheckDelay, func() { s.checkCrash(r) })
	}
}

// checkCrash finds out whether a replica that connections were lost to has crashed, by
// opening another one, and resolves the losses. It goes on until there are none left.
func (s *Service) checkCrash(r *replica) {
	begin := time.Now()
	err := r.conns.Probe(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.replicas[r.status.ID]
	restarted := current != nil && current != r
	pending := r.losses[:0]
	for _, l := range r.losses {
		if begin.Sub(l.at) < crashCheckDelay {
			pending = append(pending, l) // its replica may have been about to end
			continue
		}
		s.resolveLoss(r, l, err, restarted)
	}
	r.losses = pending
	if len(pending) > 0 {
		time.AfterFunc(crashCheckDelay, func() { s.checkCrash(r) })
	}
}

// resolveLoss records whether a loss was a crash: the replica can't be reached, or has
// restarted. s.mu is held.
func (s *Service) resolveLoss(r *replica, l loss, unreachable error, restarted bool) {
	crashed := unreachable != nil || restarted
	s.suspects.Resolve(l.fingerprint, l.id, crashed)
	if crashed {
		s.metrics.add("suspect_crash", 1)
	} else {
		s.metrics.add("suspect_survived", 1)
	}
	_, refused := s.suspects.Refuse(time.Now(), l.fingerprint)
	s.suspectLine(l.request, r, l.fingerprint).Bool("crashed", crashed).Bool("restarted", restarted).AnErr("unreachable", unreachable).
		Dur("after", time.Since(l.at)).Bool("refused", refused).Msg("replica checked after a lost connection")
}

// suspectLine begins a log line on the suspicion against a request that was sent to a
// replica, with the crashes counted so far. s.mu is held.
func (s *Service) suspectLine(request string, r *replica, fingerprint uint64) *zerolog.Event {
	return s.log.Info("suspect").Str("id", request).Str("upstream", r.status.ID).
		Uint64("fingerprint", fingerprint).Int("crashes", s.suspects.Crashes(fingerprint))
}
