package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/coverage"
	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// flight is one request under way.
type flight struct {
	w          *queryWorld
	id, key    string
	deadline   time.Duration
	begin      time.Duration
	pinned     *snapshot.Pinned
	next       *snapshot.Pinned
	machine    *fanout.Machine
	cfg        fanout.Config
	choices    [][]string
	idempotent bool
	done       func(f *flight)
	woken      time.Time
}

// ask sends a query now.
func (w *queryWorld) ask(id string, deadline time.Duration) {
	w.h.asked[id] = w.now + deadline
	pinned := snapshot.Pin(w.pools())
	if pinned == nil {
		w.refuse(id, verdict.NotRun)
		return
	}
	f := &flight{w: w, id: id, deadline: w.now + deadline, begin: w.now, idempotent: true, done: (*flight).answer}
	f.fly(pinned, nil)
}

// fly starts a machine on a pinned snapshot.
func (f *flight) fly(pinned *snapshot.Pinned, prior *verdict.Error) {
	f.pinned = pinned
	f.choices = nil
	f.cfg = fanout.Config{RequestID: f.id, Snapshot: pinned.Snapshot, Idempotent: true, PriorVerdict: prior, Hedger: worldHedger{f.w}, Retrier: f.w}
	if prior == nil && !f.w.goOn {
		f.cfg.Restarter = f
	}
	for _, m := range pinned.Maps {
		for _, s := range m.Shards {
			f.cfg.Parts = append(f.cfg.Parts, fanout.Part{Pool: m.Pool, Shard: s.Index, Lo: s.Lo, Hi: s.Hi})
			f.choices = append(f.choices, s.Replicas)
			f.w.hedgers[m.Pool].CountFirst()
			f.w.budgets[m.Pool].CountFirst(1)
		}
	}
	if f.w.naive {
		f.cfg.Snapshot = 0
		for i := range f.cfg.Parts {
			f.cfg.Parts[i].Hi = 0
		}
	}
	f.launch()
}

func (f *flight) launch() {
	f.cfg.Deadline = start.Add(f.deadline)
	if f.w.patient {
		f.cfg.Deadline = start.Add(2 * horizon)
	}
	f.cfg.Chooser = f
	f.machine = fanout.New(f.cfg)
	f.do(f.machine.Start(f.w.clock()))
}

// CanRestart implements fanout.Restarter.
func (f *flight) CanRestart(time.Time) bool {
	f.w.hear()
	f.next = snapshot.PinAbove(f.pinned.Snapshot, f.w.pools())
	return f.deadline-f.w.now > f.w.now-f.begin && f.next != nil && f.next.Full()
}

// HasCapacity implements fanout.Chooser.
func (f *flight) HasCapacity(int, string) bool { return true }

// Probing implements fanout.Chooser.
func (f *flight) Probing(int, string) bool { return false }

// Choose implements fanout.Chooser.
func (f *flight) Choose(part int, tried []string) (string, bool) {
	var cands []pick.Candidate
	var ids []string
	for _, id := range f.choices[part] {
		if !slices.Contains(tried, id) {
			ids = append(ids, id)
			cands = append(cands, pick.Candidate{Own: f.w.replica(id).inFlight})
		}
	}
	n := pick.TwoChoices(f.w.rng, cands)
	if n < 0 {
		return "", false
	}
	return ids[n], true
}

// worldHedger implements fanout.Hedger.
type worldHedger struct{ *queryWorld }

// Delay implements fanout.Hedger.
func (w worldHedger) Delay(pool string) (time.Duration, bool) { return w.hedgers[pool].Delay() }

// Allow implements fanout.Hedger.
func (w worldHedger) Allow(_ time.Time, pool string) bool { return w.hedgers[pool].Allow() }

// Allow implements fanout.Retrier.
func (w *queryWorld) Allow(now time.Time, pool string) bool { return w.budgets[pool].Allow(now) }

func (w *queryWorld) replica(id string) *upstreamReplica {
	i := slices.IndexFunc(w.replicas, func(r *upstreamReplica) bool { return r.id == id })
	return w.replicas[i]
}

// do carries out the actions of the machine.
func (f *flight) do(actions []fanout.Action) {
	for _, a := range slices.Clone(actions) {
		if a.Kind == fanout.Send && !f.w.gone {
			f.send(a)
		}
	}
	if f.w.gone {
		return
	}
	if f.machine.Done() {
		if done := f.done; done != nil {
			f.done = nil
			done(f)
		}
		return
	}
	if wake := f.machine.NextTimer(); f.woken.IsZero() || wake.Before(f.woken) {
		f.woken = wake
		m := f.machine
		f.w.at(wake.Sub(start), func() {
			if f.machine == m {
				f.woken = time.Time{}
				f.do(m.OnTimer(f.w.clock()))
			}
		})
	}
}

func (f *flight) send(a fanout.Action) {
	w, m := f.w, f.machine
	r := w.replica(a.Replica)
	s := sent{request: f.id, key: f.key, part: f.cfg.Parts[a.Part], attempt: a.Attempt, snapshot: f.cfg.Snapshot, idempotent: f.idempotent, replica: r, again: a.Attempt > 1}
	res := w.good(s)
	if w.respond != nil {
		res = w.respond(s)
	}
	r.inFlight++
	sentAt := w.now
	w.after(min(res.after, time.Second), func() {
		r.inFlight--
		if res.ran {
			w.h.runs = append(w.h.runs, run{key: cmp.Or(s.key, s.request), request: s.request, idempotent: s.idempotent, at: w.now})
		}
	})
	if res.none {
		return
	}
	deliver := func() {
		if w.gone || f.machine != m {
			return
		}
		res.reply.Part, res.reply.Attempt = a.Part, a.Attempt
		if a.Attempt == 1 {
			w.hedgers[s.part.Pool].Observe(w.now - sentAt)
		}
		f.do(m.OnReply(w.clock(), res.reply))
	}
	w.after(res.after, deliver)
	if res.twice {
		w.after(res.after+time.Millisecond, deliver)
	}
}

// good is the response of a sound replica.
func (w *queryWorld) good(s sent) response {
	held, ok := s.replica.held[s.snapshot]
	if s.snapshot == 0 {
		held, ok = s.replica.held[1], true
		held.Snapshot = 1
	}
	if !ok {
		return w.fails(s, verdict.NotRun, verdict.SnapshotGone)
	}
	token := fmt.Sprintf("%s/%s/%d/%d-%d/%d", s.request, s.part.Pool, held.Snapshot, held.Lo, held.Hi, s.attempt)
	w.payloads[token] = truth{s.request, s.part.Pool, held.Snapshot, held.Lo, held.Hi}
	return response{after: s.replica.latency, ran: true, reply: fanout.Reply{
		RequestID: s.request, EchoAttempt: s.attempt, Snapshot: held.Snapshot, Lo: held.Lo, Hi: held.Hi, Payload: []byte(token),
	}}
}

// fails is a response with a verdict.
func (w *queryWorld) fails(_ sent, o verdict.Outcome, c verdict.Cause) response {
	return response{after: time.Millisecond, ran: o != verdict.NotRun, reply: fanout.Reply{Verdict: verdict.New(o, c, "fault")}}
}

// answer ends a query: it begins anew, or is answered, or refused.
func (f *flight) answer() {
	if f.machine.NeedsRestart() {
		f.done = (*flight).answer
		f.woken = time.Time{}
		f.fly(f.next, f.machine.Verdict())
		return
	}
	parts := make([]coverage.Part, len(f.cfg.Parts))
	a := answer{request: f.id, forID: f.id}
	var got []truth
	for i, p := range f.cfg.Parts {
		out := f.machine.Outcome(i)
		parts[i] = coverage.Part{Pool: p.Pool, Lo: p.Lo, Hi: p.Hi, Covered: out.Covered || f.w.countAll}
		if !out.Covered {
			continue
		}
		t, whole := f.w.payloads[string(out.Payload)]
		a.cutShort = a.cutShort || !whole
		if t.request != f.id {
			a.forID = t.request
		}
		a.snapshots = append(a.snapshots, t.snapshot)
		got = append(got, t)
	}
	if len(got) == 0 {
		f.w.refuse(f.id, f.machine.Verdict().Outcome)
		return
	}
	a.claimed = coverage.Of(parts).Share()
	a.actual = f.w.actual(f.pinned.Snapshot, got)
	f.w.h.answers = append(f.w.h.answers, a)
	f.w.h.finished[f.id] = f.w.now
}

// actual is the share of the snapshot's true shards that the parts hold.
func (w *queryWorld) actual(id uint64, got []truth) float64 {
	covered, total := 0, 0
	for pool, count := range w.shards[id] {
		total += count
		for shard := range count {
			lo, hi := uint32(tables.KeySpace*shard/count), uint32(tables.KeySpace*(shard+1)/count)
			if slices.ContainsFunc(got, func(t truth) bool { return t.pool == pool && t.lo <= lo && hi <= t.hi }) {
				covered++
			}
		}
	}
	return float64(covered) / float64(total)
}

func (w *queryWorld) refuse(id string, o verdict.Outcome) {
	w.h.refusals = append(w.h.refusals, refusal{id, o})
	w.h.finished[id] = w.now
}
