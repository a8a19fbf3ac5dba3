package matrix

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Guards against cells that miss a fault: each entry breaks one policy of the
// entry process or of the claims, and check must report the promise.
var _ = DescribeTable("check detects a naive policy",
	func(promise string, run func(uint64) *history) {
		var promises []string
		for _, v := range check(run(matrixSeed)) {
			promises = append(promises, v.promise)
		}
		Expect(promises).To(ContainElement(promise))
	},
	Entry("parts of any snapshot are merged", oneSnapshot, runQueries(allOf(changeSnapshot(3, true, 10*time.Millisecond), func(sim *querySim) {
		sim.mergeAll = true
		sim.schedule(queryFaultAt, func() {
			sim.respond = func(pa partAttempt) response {
				pa.snapshot = uint64(1 + sim.rng.IntN(2)) // the replica answers from an arbitrary snapshot
				return sim.correctResponse(pa)
			}
		})
	}))),
	Entry("parts of any request are merged", wholeAnswer, runQueries(allOf(corruptEveryThird(func(r *response) { r.reply.Payload = []byte("another") }), func(sim *querySim) { sim.mergeAll = true }))),
	Entry("coverage counts all parts that were sent", trueCoverage, runQueries(allOf(failReplicas(oneShard, verdict.NotRun, verdict.Shed), func(sim *querySim) { sim.countSent = true }))),
	Entry("queries wait for all parts without a deadline", timely, runQueries(allOf(respondWith(stallOneReplica), func(sim *querySim) { sim.ignoreDeadlines = true }))),
	Entry("no claim is made", atMostOnce, runActions(func(sim *querySim) { sim.claims.grantAll = true })),
	Entry("a chain can still be written by the previous owner after a takeover", atMostOnce, runActions(func(sim *querySim) { sim.claims.unfenced = true })),
	Entry("an action is retried after a lost connection", atMostOnce, runActions(allOf(failFirstAttempts(verdict.MayHaveRun, verdict.ConnectionLost), func(sim *querySim) { sim.retryAll = true }))),
	Entry("a lost reply counts as not executed", trueRefusal, runActions(allOf(respondWith(func(sim *querySim, pa partAttempt) (response, bool) {
		r := sim.failedResponse(pa, verdict.MayHaveRun, verdict.ConnectionLost)
		r.reply.Verdict = verdict.New(verdict.NotRun, verdict.ConnectionLost, "reply lost")
		return r, true
	})))),
)

// All promises hold for any sequence of call fates, pauses and kills.
var _ = Describe("claims under random faults", func() {
	It("execute at most once and refuse correctly", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			h := runActions(func(sim *querySim) {
				sim.claims.fate = func(int, claim.Action) fate {
					if sim.now > 2*time.Second || sim.rng.IntN(3) > 0 {
						return applied
					}
					return fate(sim.rng.IntN(int(numFates)))
				}
				for _, n := range sim.claims.nodes[:2] {
					at := time.Duration(rapid.IntRange(0, 700).Draw(t, "pause at")) * time.Millisecond
					sim.schedule(at, func() { n.paused = true })
					sim.schedule(at+time.Duration(rapid.IntRange(1, 900).Draw(t, "pause for"))*time.Millisecond, n.resume)
				}
				if rapid.Bool().Draw(t, "kill") {
					sim.schedule(time.Duration(rapid.IntRange(0, 700).Draw(t, "kill at"))*time.Millisecond, func() { sim.claims.nodes[0].dead = true })
				}
			})(seed)
			if v := check(h); len(v) > 0 {
				t.Fatalf("%v", v)
			}
		})
	})
})
