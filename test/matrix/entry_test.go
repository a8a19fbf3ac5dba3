package matrix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The load of a query cell: enough queries for the hedger to estimate its delay,
// and a fault halfway.
const (
	queryCount    = 120
	queryInterval = 5 * time.Millisecond
	queryDeadline = 300 * time.Millisecond
	queryFaultAt  = 300 * time.Millisecond
)

// runQueries sends queryCount queries in a simulation that fault has prepared.
func runQueries(fault func(sim *querySim)) func(uint64) *history {
	return func(seed uint64) *history {
		sim := newQuerySim(seed)
		for i := range queryCount {
			sim.schedule(time.Duration(i)*queryInterval, func() {
				if !sim.entryKilled {
					sim.sendQuery(fmt.Sprint("q", i), queryDeadline)
				}
			})
		}
		fault(sim)
		return sim.run()
	}
}

// respondWith makes every replica respond as f says from queryFaultAt on, or
// correctly where f returns false.
func respondWith(f func(sim *querySim, pa partAttempt) (response, bool)) func(*querySim) {
	return func(sim *querySim) {
		sim.schedule(queryFaultAt, func() {
			sim.respond = func(pa partAttempt) response {
				if r, bad := f(sim, pa); bad {
					return r
				}
				return sim.correctResponse(pa)
			}
		})
	}
}

// corruptEveryThird changes every third response with f.
func corruptEveryThird(f func(r *response)) func(*querySim) {
	return func(sim *querySim) {
		n := 0
		respondWith(func(sim *querySim, pa partAttempt) (response, bool) {
			n++
			r := sim.correctResponse(pa)
			if n%3 == 0 {
				f(&r)
			}
			return r, true
		})(sim)
	}
}

// failReplicas makes the replicas with these IDs fail with a verdict.
func failReplicas(ids []string, o verdict.Outcome, c verdict.Cause) func(*querySim) {
	return respondWith(func(sim *querySim, pa partAttempt) (response, bool) {
		return sim.failedResponse(pa, o, c), slices.Contains(ids, pa.replica.id)
	})
}

var (
	oneReplica = []string{"lines-0"}
	oneShard   = []string{"lines-0", "lines-3", "lines-6"}
	ledgers    = []string{"ledger-0", "ledger-1", "ledger-2"}
)

// stallOneReplica makes one replica execute requests without replying.
func stallOneReplica(sim *querySim, pa partAttempt) (response, bool) {
	return response{noReply: true, executed: true, delay: queryServiceTime}, slices.Contains(oneReplica, pa.replica.id)
}

// changeSnapshot makes every replica hold snapshot 2, with the given number of
// shards in pool lines, and drop snapshot 1 after retention. Unless reported, the
// entry process receives no report of snapshot 2 before that.
func changeSnapshot(lines int, reported bool, retention time.Duration) func(*querySim) {
	return func(sim *querySim) {
		sim.shards[2] = map[string]int{"lines": lines, "ledger": 1}
		sim.schedule(queryFaultAt, func() {
			sim.lagging = !reported
			sim.publishSnapshot(2)
		})
		sim.schedule(queryFaultAt+retention, func() {
			sim.dropSnapshot(1, sim.replicas...)
			sim.lagging = false
		})
	}
}

func allOf(faults ...func(*querySim)) func(*querySim) {
	return func(sim *querySim) {
		for _, f := range faults {
			f(sim)
		}
	}
}

// killEntry kills the entry process. Its callers' connections end with it, so no
// answer is due to them.
func killEntry(sim *querySim) {
	sim.schedule(queryFaultAt+2*time.Millisecond, func() {
		sim.entryKilled = true
		for id := range sim.h.deadlines {
			if _, ok := sim.h.finishedAt[id]; !ok {
				delete(sim.h.deadlines, id)
			}
		}
	})
}

var _ = registerCells(
	"query path: entry, queries",
	cell{"accept", "none", runQueries(func(*querySim) {})},
	cell{"accept", "entry killed", runQueries(killEntry)},
	cell{"pin", "no snapshot is known", runQueries(func(sim *querySim) { sim.reports = nil; sim.lagging = true })},
	cell{"pin", "new snapshot held by some shards only", runQueries(func(sim *querySim) {
		sim.shards[2] = map[string]int{"lines": 3, "ledger": 1}
		sim.schedule(queryFaultAt, func() {
			sim.publishSnapshot(2)
			sim.dropSnapshot(2, sim.replicas[0], sim.replicas[3], sim.replicas[6])
			sim.updateReports()
		})
	})},
	cell{"pin", "snapshot change heard late", runQueries(changeSnapshot(3, false, 0))},
	cell{"pin", "repartition", runQueries(changeSnapshot(4, true, 0))},
	cell{"pin", "repartition heard late", runQueries(changeSnapshot(4, false, 0))},
	cell{"pin", "replicas report two shard maps for one snapshot", runQueries(func(sim *querySim) {
		h := sim.replicas[0].held[1]
		h.ShardCount, h.Hi = 2, 1<<15
		sim.replicas[0].held[1] = h
		sim.updateReports()
	})},
	cell{"pin", "replica reports an overlapping range", runQueries(func(sim *querySim) {
		h := sim.replicas[1].held[1]
		h.Lo = 5
		sim.replicas[1].held[1] = h
		sim.updateReports()
	})},
	cell{"pick", "replica killed", runQueries(failReplicas(oneReplica, verdict.NotRun, verdict.ConnectFailed))},
	cell{"pick", "owner of a replica unknown", runQueries(failReplicas(oneReplica, verdict.NotRun, verdict.NoReplica))},
	cell{"pick", "owner hands a replica over", runQueries(failReplicas(oneReplica, verdict.NotRun, verdict.NotOwner))},
	cell{"send", "whole shard lost", runQueries(failReplicas(oneShard, verdict.MayHaveRun, verdict.ConnectionLost))},
	cell{"send", "whole pool sheds", runQueries(failReplicas(ledgers, verdict.NotRun, verdict.Shed))},
	cell{"send", "whole pool fails", runQueries(failReplicas(ledgers, verdict.RanFailed, verdict.UpstreamError))},
	cell{"send", "owner killed", runQueries(failReplicas(oneReplica, verdict.MayHaveRun, verdict.PeerLost))},
	cell{"send", "poison request", runQueries(failReplicas(oneShard, verdict.NotRun, verdict.Poison))},
	cell{"wait", "replica frozen", runQueries(respondWith(stallOneReplica))},
	cell{"wait", "straggler", runQueries(func(sim *querySim) { sim.replicas[0].latency = 10 * queryServiceTime })},
	cell{"wait", "whole shard frozen", runQueries(respondWith(func(_ *querySim, pa partAttempt) (response, bool) {
		return response{noReply: true, executed: true}, slices.Contains(oneShard, pa.replica.id)
	}))},
	cell{"wait", "snapshot leaves beneath the query", runQueries(changeSnapshot(3, true, 10*time.Millisecond))},
	cell{"wait", "snapshot leaves beneath requests in a queue", runQueries(endInFlight)},
	cell{"wait", "snapshot leaves and no other is held", runQueries(func(sim *querySim) { sim.schedule(queryFaultAt, func() { sim.dropSnapshot(1, sim.replicas...) }) })},
	cell{"wait", "replica lost its snapshot", runQueries(func(sim *querySim) { sim.schedule(queryFaultAt, func() { sim.dropSnapshot(1, sim.replicas[0]) }) })},
	cell{"merge", "answer of another request", runQueries(corruptEveryThird(func(r *response) { r.reply.RequestID = "another" }))},
	cell{"merge", "answer of another attempt", runQueries(corruptEveryThird(func(r *response) { r.reply.EchoAttempt += 3 }))},
	cell{"merge", "answer from another snapshot", runQueries(corruptEveryThird(func(r *response) { r.reply.Snapshot++ }))},
	cell{"merge", "answer for another range", runQueries(corruptEveryThird(func(r *response) { r.reply.Hi-- }))},
	cell{"merge", "answer truncated", runQueries(corruptEveryThird(func(r *response) {
		r.reply = fanout.Reply{Verdict: verdict.New(verdict.RanFailed, verdict.BadAnswer, "short")}
	}))},
	cell{"merge", "answer comes twice", runQueries(corruptEveryThird(func(r *response) { r.duplicated = true }))},
	cell{"reply", "answer after the deadline", runQueries(corruptEveryThird(func(r *response) { r.delay = queryDeadline + queryServiceTime }))},
	cell{"reply", "answer just before the deadline", runQueries(corruptEveryThird(func(r *response) { r.delay = queryDeadline - time.Microsecond }))},
	cell{"wait", "straggler and replica killed", runQueries(allOf(func(sim *querySim) { sim.replicas[3].latency = 10 * queryServiceTime }, failReplicas(oneReplica, verdict.NotRun, verdict.ConnectFailed)))},
	cell{"wait", "snapshot leaves and replica frozen", runQueries(allOf(changeSnapshot(3, true, 10*time.Millisecond), respondWith(stallOneReplica)))},
	cell{"wait", "repartition and shard lost", runQueries(allOf(changeSnapshot(4, false, 0), failReplicas(oneShard, verdict.NotRun, verdict.ConnectFailed)))},
	cell{"merge", "crossed answers while the snapshot changes", runQueries(allOf(changeSnapshot(4, true, 5*time.Millisecond), corruptEveryThird(func(r *response) { r.reply.RequestID = "another" })))},
)

// runActions sends 30 actions in a simulation that fault has prepared, each three
// times under the same key, 40 ms apart. The last time, the claim goes to another
// owner first.
func runActions(fault func(sim *querySim)) func(uint64) *history {
	return func(seed uint64) *history {
		sim := newQuerySim(seed)
		const keys = 30
		for k := range keys {
			for n, order := range [][]int{{0, 1}, {0, 1}, {1, 0}} {
				sim.schedule(time.Duration(k)*20*time.Millisecond+time.Duration(n)*40*time.Millisecond, func() {
					if !sim.entryKilled {
						sim.sendAction(fmt.Sprintf("a%d-%d", k, n), fmt.Sprint("key", k), 1, order...)
					}
				})
			}
		}
		fault(sim)
		return sim.run()
	}
}

// platformFault gives fate f to one in every platform calls after queryFaultAt,
// counting only the kinds in calls, if any.
func platformFault(f fate, every int, calls ...claim.Call) func(*querySim) {
	return func(sim *querySim) {
		n := 0
		sim.claims.fate = func(_ int, a claim.Action) fate {
			if sim.now < queryFaultAt || (len(calls) > 0 && !slices.Contains(calls, a.Call)) {
				return applied
			}
			n++
			if n%every == 0 {
				return f
			}
			return applied
		}
	}
}

// pauseOwner pauses node 0 for d.
func pauseOwner(d time.Duration) func(*querySim) {
	return func(sim *querySim) {
		sim.schedule(queryFaultAt, func() { sim.claims.nodes[0].paused = true })
		sim.schedule(queryFaultAt+d, sim.claims.nodes[0].resume)
	}
}

func killOwner(sim *querySim) { sim.schedule(queryFaultAt, func() { sim.claims.nodes[0].dead = true }) }

// failFirstAttempts makes first attempts fail with a verdict; retries succeed.
func failFirstAttempts(o verdict.Outcome, c verdict.Cause) func(*querySim) {
	return respondWith(func(sim *querySim, pa partAttempt) (response, bool) {
		return sim.failedResponse(pa, o, c), !pa.isRetry
	})
}

var _ = registerCells(
	"query path: entry, actions",
	cell{"claim", "none", runActions(func(*querySim) {})},
	cell{"claim", "platform down", runActions(platformFault(rejected, 1))},
	cell{"claim", "platform down now and then", runActions(platformFault(rejected, 3))},
	cell{"claim", "platform slow", runActions(platformFault(answeredLate, 1))},
	cell{"claim", "reply of a write lost", runActions(platformFault(replyLost, 2, claim.Create))},
	cell{"claim", "write lost", runActions(platformFault(requestLost, 2, claim.Create))},
	cell{"claim", "write applied late", runActions(platformFault(appliedLate, 2, claim.Create))},
	cell{"claim", "reads from the past", runActions(platformFault(staleRead, 1, claim.List, claim.Read))},
	cell{"claim", "owner killed", runActions(killOwner)},
	cell{"claim", "owner paused", runActions(pauseOwner(longDelay))},
	cell{"claim", "owner paused for longer than its lease", runActions(pauseOwner(claim.LeaseTTL + time.Second))},
	cell{"claim", "owner paused before it sends a write", runActions(allOf(platformFault(sentOnResume, 1, claim.Create), pauseOwner(longDelay)))},
	cell{"claim", "owner paused and reply lost", runActions(allOf(platformFault(replyLost, 2), pauseOwner(longDelay)))},
	cell{"claim", "owner killed and platform slow", runActions(allOf(killOwner, platformFault(answeredLate, 2)))},
	cell{"claim", "owner killed and write applied late", runActions(allOf(killOwner, platformFault(appliedLate, 2)))},
	cell{"claim", "two nodes think they own the range", runActions(func(sim *querySim) {
		for k := range 30 {
			sim.schedule(time.Duration(k)*20*time.Millisecond, func() { sim.sendAction(fmt.Sprint("b", k), fmt.Sprint("key", k), 1, 1, 2) })
		}
	})},
	cell{"claim", "key reused for another request", runActions(func(sim *querySim) {
		sim.schedule(queryFaultAt, func() { sim.sendAction("other", "key1", 2, 0) })
	})},
	cell{"claim", "chain rotated", runActions(func(sim *querySim) {
		for n := range 4 {
			sim.schedule(time.Duration(n)*50*time.Second, func() { sim.sendAction(fmt.Sprint("r", n), "key2", 1, 0) })
		}
	})},
	cell{"claim", "key repeated within the retention", runActions(func(sim *querySim) {
		sim.schedule(claim.Retention, func() { sim.sendAction("last", "key29", 1, 2) })
	})},
	cell{"dispatch", "not run", runActions(failFirstAttempts(verdict.NotRun, verdict.Shed))},
	cell{"dispatch", "connection lost", runActions(failFirstAttempts(verdict.MayHaveRun, verdict.ConnectionLost))},
	cell{"dispatch", "ran and failed", runActions(failFirstAttempts(verdict.RanFailed, verdict.UpstreamError))},
	cell{"dispatch", "replica frozen", runActions(respondWith(func(*querySim, partAttempt) (response, bool) {
		return response{noReply: true, executed: true, delay: queryServiceTime}, true
	}))},
	cell{"dispatch", "entry killed", runActions(func(sim *querySim) {
		killEntry(sim)
		for k := range 30 {
			sim.schedule(time.Second, func() { sim.entryKilled = false; sim.sendAction(fmt.Sprint("again", k), fmt.Sprint("key", k), 1, 0) })
		}
	})},
	cell{"dispatch", "owner killed after the claim", runActions(allOf(killOwner, failFirstAttempts(verdict.MayHaveRun, verdict.PeerLost)))},
	cell{"outcome", "owner killed before it is written", runActions(allOf(killOwner, platformFault(appliedLate, 1, claim.Create)))},
	cell{"outcome", "owner paused before it is written", runActions(allOf(platformFault(sentOnResume, 2, claim.Create), pauseOwner(2*longDelay)))},
	cell{"outcome", "not run, then taken over", runActions(allOf(failFirstAttempts(verdict.NotRun, verdict.Draining), killOwner))},
)

// endInFlight changes the snapshot, and fails the requests for snapshot 1 that are
// in flight at that time as not run, as for requests in a replica's queue.
func endInFlight(sim *querySim) {
	const inFlightTime = 20 * time.Millisecond
	sim.respond = func(pa partAttempt) response {
		r := sim.correctResponse(pa)
		if pa.snapshot == 1 && sim.now >= queryFaultAt-inFlightTime {
			r = sim.failedResponse(pa, verdict.NotRun, verdict.SnapshotGone)
			r.delay = max(queryFaultAt-sim.now, 0) + time.Millisecond
		}
		return r
	}
	changeSnapshot(3, true, 0)(sim)
}

// BenchmarkSnapshotLeaves reports the percentage of queries that are answered
// completely, with and without restarts on the next snapshot.
func BenchmarkSnapshotLeaves(b *testing.B) {
	percentComplete := func(noRestarts bool) float64 {
		n := 0
		for _, a := range runQueries(func(sim *querySim) { sim.noRestarts = noRestarts; endInFlight(sim) })(matrixSeed).answers {
			if a.actual == 1 {
				n++
			}
		}
		return 100 * float64(n) / queryCount
	}
	for b.Loop() {
		b.ReportMetric(percentComplete(false), "%whole")
		b.ReportMetric(percentComplete(true), "%whole-baseline")
	}
}
