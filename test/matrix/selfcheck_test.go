package matrix

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Each check turns red on a history that breaks its promise.
var _ = DescribeTable("a broken history is found",
	func(promise string, h *history) {
		var promises []string
		for _, v := range check(h) {
			promises = append(promises, v.promise)
		}
		Expect(promises).To(ContainElement(promise))
	},
	Entry("mixed snapshots", oneSnapshot, &history{answers: []answer{{snapshots: []uint64{1, 2}}}}),
	Entry("false coverage", trueCoverage, &history{answers: []answer{{reported: 1, actual: 0.9}}}),
	Entry("another's answer", wholeAnswer, &history{answers: []answer{{request: "a", forID: "b"}}}),
	Entry("short answer", wholeAnswer, &history{answers: []answer{{truncated: true}}}),
	Entry("second run", atMostOnce, &history{executions: []execution{{key: "k", request: "a"}, {key: "k", request: "b"}}}),
	Entry("false not run", trueRefusal, &history{executions: []execution{{request: "a"}}, refusals: []refusal{{"a", verdict.NotRun}}}),
	Entry("work when out", noWorkWhenOut, &history{attempts: []attempt{{at: 9 * time.Second, allowedFor: time.Second}}}),
	Entry("cold overload", bearableStart, &history{loadSamples: []loadSample{{inFlight: 2, capacity: 1}}}),
	Entry("cut request", gracefulShutdown, &history{aborted: []string{"a"}}),
	Entry("reverted node", neverReverts, &history{adoptions: []adoption{{node: "n", revision: 2}, {node: "n", revision: 1}}}),
	Entry("late node", inForce, &history{accepted: []acceptance{{revision: 2}}, adoptions: []adoption{{node: "n", revision: 1}}}),
	Entry("node that starts and adopts nothing", inForce, &history{accepted: []acceptance{{revision: 1}}, adoptions: []adoption{{node: "n"}}}),
	Entry("node that restarts after it was late", inForce, &history{accepted: []acceptance{{revision: 1}}, adoptions: []adoption{
		{node: "n"}, {node: "n", revision: 1, at: 9 * time.Second}, {node: "n", revision: 1, at: 20 * time.Second, reachableAt: 19 * time.Second},
	}}),
	Entry("big bad share", badVersionSmall, &history{rollouts: []rolloutShare{{share: 0.2, detectableSince: noSignal}}}),
	Entry("bad version goes on", badVersionSmall, &history{rollouts: []rolloutShare{{share: 0.01, at: 4 * time.Second}}}),
	Entry("no answer", timely, &history{deadlines: map[string]time.Duration{"a": time.Second}}),
)
