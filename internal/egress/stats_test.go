package egress

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

var _ = DescribeTable("the statistics for judging versions",
	func(state string, age time.Duration, v *verdict.Error, wantRequests, wantErrors, wantTimed int) {
		now := time.Unix(1000, 0)
		r := &replica{state: state, startedAt: now.Add(-age)}
		row := &statsRow{inFlight: 1}
		row.end(time.Second, v, r.warming(now))
		Expect(row.requests).To(BeEquivalentTo(wantRequests))
		Expect(row.errors).To(BeEquivalentTo(wantErrors))
		Expect(row.latency).To(BeEquivalentTo(time.Duration(wantTimed) * time.Second))
		Expect(row.inFlight).To(BeZero())
	},
	Entry("omit the time of a warming upstream", upstream.StateCold, time.Second, nil, 1, 0, 0),
	Entry("omit the time of its attempts that were cancelled because the hedge answered first", upstream.StateCold, time.Second, verdict.New(verdict.MayHaveRun, verdict.Cancelled, ""), 1, 0, 0),
	Entry("count the failures of a warming upstream", upstream.StateCold, time.Second, verdict.New(verdict.RanFailed, verdict.UpstreamError, ""), 1, 1, 1),
	Entry("count the time of an upstream that reports cold for too long", upstream.StateCold, warmUpTime, nil, 1, 0, 1),
	Entry("count the time of a ready upstream", upstream.StateReady, time.Second, nil, 1, 0, 1),
	Entry("omit attempts that were not executed", upstream.StateReady, time.Second, verdict.New(verdict.NotRun, verdict.Shed, ""), 0, 0, 0),
)

var _ = DescribeTable("a claim is rejected when it may be removed soon",
	func(c *swpb.ClaimFence, want bool) {
		Expect(isStale(c, time.Unix(1000, 0))).To(Equal(want))
	},
	Entry("no claim", nil, false),
	Entry("fresh", &swpb.ClaimFence{GrantedUnixMs: 999_000}, false),
	Entry("granted by a clock that is ahead", &swpb.ClaimFence{GrantedUnixMs: 1_100_000}, false),
	Entry("entry process paused after the grant", &swpb.ClaimFence{GrantedUnixMs: 600_000}, true),
)

var _ = DescribeTable("the state in a load report",
	func(state string, warmed, cold bool, want swpb.ReplicaState) {
		r := &replica{state: state, warmed: warmed}
		r.cfg.Store(&replicaConfig{})
		Expect(r.loadState(cold)).To(Equal(want))
	},
	Entry("cold until the gate has been warm", upstream.StateReady, false, true, swpb.ReplicaState_REPLICA_STATE_COLD),
	Entry("ready when the gate is cold again because of slowness", upstream.StateReady, true, true, swpb.ReplicaState_REPLICA_STATE_READY),
	Entry("cold when the upstream reports it", upstream.StateCold, true, true, swpb.ReplicaState_REPLICA_STATE_COLD),
	Entry("ready when warm", upstream.StateReady, true, false, swpb.ReplicaState_REPLICA_STATE_READY),
)
