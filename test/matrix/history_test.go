package matrix

import (
	"fmt"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// history is what happened in one cell, on its virtual time. Cells fill in the
// events that their steps bring about; check judges all of them.
type history struct {
	executions  []execution
	answers     []answer
	refusals    []refusal
	attempts    []attempt
	loadSamples []loadSample
	aborted     []string // requests in flight that a graceful shutdown ended
	accepted    []acceptance
	adoptions   []adoption
	rollouts    []rolloutShare
	deadlines   map[string]time.Duration // request id to deadline, as a time
	finishedAt  map[string]time.Duration // request id to the time of its answer or refusal
}

// run is one execution of a request at an upstream.
type execution struct {
	key        string // idempotency key, or request id
	request    string
	idempotent bool
	at         time.Duration
}

// answer is what a caller got.
type answer struct {
	request   string
	forID     string   // request id inside the answer's parts
	snapshots []uint64 // snapshots of the merged parts
	reported  float64  // coverage stated
	actual    float64  // coverage of the parts by the snapshot's shard map
	truncated bool     // bytes are missing
}

// refusal is a problem document that a caller got.
type refusal struct {
	request string
	outcome verdict.Outcome
}

// send is new work sent to an upstream. forbiddenSince is when the tables or a
// sign took the upstream out of service, or negative.
type attempt struct {
	upstream       string
	at             time.Duration
	forbiddenSince time.Duration
	allowedFor     time.Duration // grace after forbiddenSince
}

// budget is the work in flight at a replica beside what it can bear.
type loadSample struct {
	replica  string
	at       time.Duration
	inFlight int
	capacity int
}

// acceptance is a configuration that an operator was told is accepted.
type acceptance struct {
	revision uint64
	at       time.Duration
}

// adoption is a node putting a revision in force, or starting with none (0). A
// node that is cut off from everyone is excused until reachableAt.
type adoption struct {
	node        string
	revision    uint64
	at          time.Duration
	reachableAt time.Duration
}

// rolloutShare is the share of a pool's new work that a bad version got in one
// interval. since is when its fault could first be told, or negative.
type rolloutShare struct {
	pool            string
	at              time.Duration
	share           float64
	detectableSince time.Duration
}

// The bounds that the promises set.
const (
	inForceWithin        = 6 * time.Second
	badVersionShare      = 0.05
	badVersionStopWithin = 3 * time.Second
	noSignal             = time.Duration(-1)
)

// violation is a promise that a history breaks.
type violation struct {
	promise string
	detail  string
}

// The promises, as named in docs/PROMISES.md.
const (
	oneSnapshot      = "one-snapshot"
	trueCoverage     = "true-coverage"
	bearableStart    = "bearable-start"
	noWorkWhenOut    = "no-work-when-out"
	badVersionSmall  = "bad-version-small"
	wholeAnswer      = "whole-answer"
	trueRefusal      = "true-refusal"
	atMostOnce       = "at-most-once"
	gracefulShutdown = "graceful-shutdown"
	inForce          = "in-force"
	neverReverts     = "never-reverts"
	timely           = "timely"
)

// check returns every violation of every promise in h.
func check(h *history) []violation {
	var out []violation
	add := func(promise, format string, args ...any) {
		out = append(out, violation{promise, fmt.Sprintf(format, args...)})
	}
	checkAnswers(h, add)
	checkExecutions(h, add)
	checkAttempts(h, add)
	checkConfiguration(h, add)
	checkRollouts(h, add)
	checkDeadlines(h, add)
	return out
}

type addFunc = func(promise, format string, args ...any)

func checkAnswers(h *history, add addFunc) {
	for _, a := range h.answers {
		for _, s := range a.snapshots {
			if s != a.snapshots[0] {
				add(oneSnapshot, "%s merges snapshots %v", a.request, a.snapshots)
				break
			}
		}
		if a.reported != a.actual {
			add(trueCoverage, "%s claims %.3f, covers %.3f", a.request, a.reported, a.actual)
		}
		if a.forID != a.request || a.truncated {
			add(wholeAnswer, "%s got the answer of %s, cut short: %v", a.request, a.forID, a.truncated)
		}
	}
}

func checkExecutions(h *history, add addFunc) {
	perKey := map[string]int{}
	executed := map[string]bool{}
	for _, r := range h.executions {
		executed[r.request] = true
		if !r.idempotent {
			perKey[r.key]++
		}
		if perKey[r.key] == 2 {
			add(atMostOnce, "key %s ran again at %v", r.key, r.at)
		}
	}
	for _, r := range h.refusals {
		if r.outcome == verdict.NotRun && executed[r.request] {
			add(trueRefusal, "%s ran, its refusal says not run", r.request)
		}
	}
}

func checkAttempts(h *history, add addFunc) {
	for _, s := range h.attempts {
		if s.forbiddenSince >= 0 && s.at > s.forbiddenSince+s.allowedFor {
			add(noWorkWhenOut, "%s got work at %v, out since %v", s.upstream, s.at, s.forbiddenSince)
		}
	}
	for _, b := range h.loadSamples {
		if b.inFlight > b.capacity {
			add(bearableStart, "%s has %d in flight at %v, bears %d", b.replica, b.inFlight, b.at, b.capacity)
		}
	}
	for _, id := range h.aborted {
		add(gracefulShutdown, "%s was cut off", id)
	}
}

func checkConfiguration(h *history, add addFunc) {
	highest := map[string]uint64{}
	for _, a := range h.adoptions {
		if a.revision < highest[a.node] {
			add(neverReverts, "%s went from %d to %d", a.node, highest[a.node], a.revision)
		}
		highest[a.node] = max(highest[a.node], a.revision)
	}
	for _, acc := range h.accepted {
		for node := range highest {
			a, ok := firstAdoption(h, node, acc.revision)
			if !ok || a.at > max(acc.at, a.reachableAt)+inForceWithin {
				add(inForce, "%s lacks revision %d, accepted at %v", node, acc.revision, acc.at)
			}
		}
	}
}

// firstAdoption is node's first adoption of revision or a newer one.
func firstAdoption(h *history, node string, revision uint64) (adoption, bool) {
	for _, a := range h.adoptions {
		if a.node == node && a.revision >= revision {
			return a, true
		}
	}
	return adoption{}, false
}

func checkRollouts(h *history, add addFunc) {
	for _, r := range h.rollouts {
		if r.share > badVersionShare {
			add(badVersionSmall, "%s: bad version has %.3f at %v", r.pool, r.share, r.at)
		}
		if r.detectableSince >= 0 && r.at > r.detectableSince+badVersionStopWithin && r.share > 0 {
			add(badVersionSmall, "%s: bad version still has %.3f at %v, fault since %v", r.pool, r.share, r.at, r.detectableSince)
		}
	}
}

func checkDeadlines(h *history, add addFunc) {
	for id, deadline := range h.deadlines {
		at, ok := h.finishedAt[id]
		if !ok || at > deadline {
			add(timely, "%s has no answer by its deadline %v", id, deadline)
		}
	}
}
