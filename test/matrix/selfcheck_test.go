package matrix

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Guards against checks that pass although their promise is broken.
var _ = DescribeTable("check detects a history that breaks a promise",
	func(promise string, h *history) {
		var promises []string
		for _, v := range check(h) {
			promises = append(promises, v.promise)
		}
		Expect(promises).To(ContainElement(promise))
	},
	Entry("mixed snapshots", oneSnapshot, &history{answers: []answer{{snapshots: []uint64{1, 2}}}}),
	Entry("false coverage", trueCoverage, &history{answers: []answer{{reported: 1, actual: 0.9}}}),
	Entry("answer to another request", wholeAnswer, &history{answers: []answer{{request: "a", forID: "b"}}}),
	Entry("truncated answer", wholeAnswer, &history{answers: []answer{{truncated: true}}}),
	Entry("second execution", atMostOnce, &history{executions: []execution{{key: "k", request: "a"}, {key: "k", request: "b"}}}),
	Entry("refusal as not run after an execution", trueRefusal, &history{executions: []execution{{request: "a"}}, refusals: []refusal{{"a", verdict.NotRun}}}),
	Entry("work for an upstream that is out of service", noWorkWhenOut, &history{attempts: []attempt{{at: 9 * time.Second, allowedFor: time.Second}}}),
	Entry("more in flight than the capacity", bearableStart, &history{loadSamples: []loadSample{{inFlight: 2, capacity: 1}}}),
	Entry("request aborted by a graceful shutdown", gracefulShutdown, &history{aborted: []string{"a"}}),
	Entry("node that reverts to an older revision", neverReverts, &history{adoptions: []adoption{{node: "n", revision: 2}, {node: "n", revision: 1}}}),
	Entry("node that does not adopt an accepted revision", inForce, &history{accepted: []acceptance{{revision: 2}}, adoptions: []adoption{{node: "n", revision: 1}}}),
	Entry("node that starts and adopts no revision", inForce, &history{accepted: []acceptance{{revision: 1}}, adoptions: []adoption{{node: "n"}}}),
	Entry("node that adopts too late and restarts afterwards", inForce, &history{accepted: []acceptance{{revision: 1}}, adoptions: []adoption{
		{node: "n"}, {node: "n", revision: 1, at: 9 * time.Second}, {node: "n", revision: 1, at: 20 * time.Second, reachableAt: 19 * time.Second},
	}}),
	Entry("share of a bad version above the bound", badVersionSmall, &history{rollouts: []rolloutShare{{share: 0.2, detectableSince: noSignal}}}),
	Entry("bad version still in use after its fault was detectable", badVersionSmall, &history{rollouts: []rolloutShare{{share: 0.01, at: 4 * time.Second}}}),
	Entry("request without an answer", timely, &history{deadlines: map[string]time.Duration{"a": time.Second}}),
)
