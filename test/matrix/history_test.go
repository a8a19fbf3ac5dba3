package matrix

import (
	"fmt"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// history records the events of one cell on its virtual time. A cell records
// only the kinds of events that its step causes; check verifies all kinds.
type history struct {
	executions  []execution
	answers     []answer
	refusals    []refusal
	attempts    []attempt
	loadSamples []loadSample
	aborted     []string // requests in flight that a graceful shutdown aborted
	accepted    []acceptance
	adoptions   []adoption
	rollouts    []rolloutShare
	deadlines   map[string]time.Duration // by request ID, or by the name of a condition that must become true
	finishedAt  map[string]time.Duration // time of the answer or refusal, or of the condition becoming true
}

// execution is one execution of a request at an upstream.
type execution struct {
	key        string // idempotency key, or request ID
	request    string
	idempotent bool
	at         time.Duration
}

// answer is an answer that a caller received.
type answer struct {
	request   string
	forID     string   // request ID for which the parts of the answer were made
	snapshots []uint64 // snapshots of the merged parts
	reported  float64  // coverage stated in the answer
	actual    float64  // coverage of the merged parts according to the snapshot's shard map
	truncated bool     // bytes are missing
}

// refusal is a problem document that a caller received.
type refusal struct {
	request string
	outcome verdict.Outcome
}

// attempt is new work sent to an upstream. forbiddenSince is when the tables or
// a drain signal took the upstream out of service, or negative if none did.
type attempt struct {
	upstream       string
	at             time.Duration
	forbiddenSince time.Duration
	allowedFor     time.Duration // grace period after forbiddenSince
}

// loadSample compares the work in flight at a replica with its capacity.
type loadSample struct {
	replica  string
	at       time.Duration
	inFlight int
	capacity int
}

// acceptance is a configuration that was reported to an operator as accepted.
type acceptance struct {
	revision uint64
	at       time.Duration
}

// adoption is a node putting a revision in force, or starting with none (0). The
// time to adopt counts from reachableAt for a node that was unreachable before.
type adoption struct {
	node        string
	revision    uint64
	at          time.Duration
	reachableAt time.Duration
}

// rolloutShare is the share of a pool's new work that a bad version got in one
// interval. detectableSince is when its fault first became detectable, or
// negative.
type rolloutShare struct {
	pool            string
	at              time.Duration
	share           float64
	detectableSince time.Duration
}

// The bounds of the promises.
const (
	inForceWithin        = 6 * time.Second
	badVersionShare      = 0.05
	badVersionStopWithin = 3 * time.Second
	noSignal             = time.Duration(-1)
)

// violation describes how a history breaks a promise.
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

// check returns the violations of all promises in h.
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
			add(trueCoverage, "%s reports coverage %.3f, actual coverage is %.3f", a.request, a.reported, a.actual)
		}
		if a.forID != a.request || a.truncated {
			add(wholeAnswer, "%s received the answer to %s, truncated: %v", a.request, a.forID, a.truncated)
		}
	}
}

func checkExecutions(h *history, add addFunc) {
	perKey := map[string]int{}
	executed := map[string]bool{}
	for _, e := range h.executions {
		executed[e.request] = true
		if !e.idempotent {
			perKey[e.key]++
		}
		if perKey[e.key] == 2 {
			add(atMostOnce, "key %s was executed again at %v", e.key, e.at)
		}
	}
	for _, r := range h.refusals {
		if r.outcome == verdict.NotRun && executed[r.request] {
			add(trueRefusal, "%s was executed, but refused as not run", r.request)
		}
	}
}

func checkAttempts(h *history, add addFunc) {
	for _, a := range h.attempts {
		if a.forbiddenSince >= 0 && a.at > a.forbiddenSince+a.allowedFor {
			add(noWorkWhenOut, "%s received work at %v, out of service since %v", a.upstream, a.at, a.forbiddenSince)
		}
	}
	for _, l := range h.loadSamples {
		if l.inFlight > l.capacity {
			add(bearableStart, "%s has %d in flight at %v, capacity is %d", l.replica, l.inFlight, l.at, l.capacity)
		}
	}
	for _, id := range h.aborted {
		add(gracefulShutdown, "%s was aborted by a graceful shutdown", id)
	}
}

func checkConfiguration(h *history, add addFunc) {
	highest := map[string]uint64{}
	for _, a := range h.adoptions {
		if a.revision < highest[a.node] {
			add(neverReverts, "%s reverted from revision %d to %d", a.node, highest[a.node], a.revision)
		}
		highest[a.node] = max(highest[a.node], a.revision)
	}
	for _, acc := range h.accepted {
		for node := range highest {
			a, ok := firstAdoption(h, node, acc.revision)
			if !ok || a.at > max(acc.at, a.reachableAt)+inForceWithin {
				add(inForce, "%s did not adopt revision %d in time, accepted at %v", node, acc.revision, acc.at)
			}
		}
	}
}

// firstAdoption returns node's first adoption of revision or a newer one.
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
			add(badVersionSmall, "%s: share of the bad version is %.3f at %v", r.pool, r.share, r.at)
		}
		if r.detectableSince >= 0 && r.at > r.detectableSince+badVersionStopWithin && r.share > 0 {
			add(badVersionSmall, "%s: share of the bad version is still %.3f at %v, fault detectable since %v", r.pool, r.share, r.at, r.detectableSince)
		}
	}
}

func checkDeadlines(h *history, add addFunc) {
	for id, deadline := range h.deadlines {
		at, ok := h.finishedAt[id]
		if !ok || at > deadline {
			add(timely, "%s: no answer, or condition not true, by the deadline %v", id, deadline)
		}
	}
}
