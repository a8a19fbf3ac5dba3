package verdict_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestVerdict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "verdict")
}

var _ = Describe("Error", func() {
	It("is unchanged by encoding and decoding", func() {
		v := verdict.New(verdict.NotRun, verdict.Shed, "busy").WithRetryAfter(1500 * time.Millisecond)
		Expect(verdict.FromProto(verdict.ToProto(v))).To(Equal(v))
		Expect(verdict.FromProto(nil)).To(BeNil())
	})

	It("treats an unknown outcome or error as MayHaveRun", func() {
		Expect(verdict.FromProto(&swpb.Verdict{Outcome: 99}).Outcome).To(Equal(verdict.MayHaveRun))
		Expect(verdict.FromProto(&swpb.Verdict{}).Outcome).To(Equal(verdict.MayHaveRun))
		Expect(verdict.Of(errors.New("odd")).Outcome).To(Equal(verdict.MayHaveRun))
	})

	It("is found inside a wrapped error", func() {
		v := verdict.New(verdict.NotRun, verdict.Overload, "full")
		Expect(verdict.Of(fmt.Errorf("part: %w", v))).To(Equal(v))
	})

	It("combines verdicts into the one that is less safe to retry", func() {
		notRun := verdict.New(verdict.NotRun, verdict.Shed, "")
		may := verdict.New(verdict.MayHaveRun, verdict.PeerLost, "")
		Expect(verdict.Worse(notRun, may)).To(Equal(may))
		Expect(verdict.Worse(may, notRun)).To(Equal(may))
		Expect(verdict.Worse(nil, notRun)).To(Equal(notRun))
	})

	It("rounds the retry time up to whole seconds", func() {
		v := verdict.New(verdict.NotRun, verdict.Overload, "full").WithRetryAfter(1100 * time.Millisecond)
		Expect(v.RetryAfterSeconds()).To(Equal(2))
		p := v.Problem("r", "t")
		Expect(p.Status).To(Equal(429))
		Expect(p.Verdict).To(Equal("not-run"))
		Expect(p.RetryAfterMS).To(BeEquivalentTo(1100))
	})
})

var _ = DescribeTable("HTTPStatus implies no execution only if the outcome is NotRun", func(o verdict.Outcome, c verdict.Cause, want int) {
	Expect(verdict.New(o, c, "").HTTPStatus()).To(Equal(want))
},
	Entry("not run, overload", verdict.NotRun, verdict.Overload, 429),
	Entry("may have run, overload", verdict.MayHaveRun, verdict.Overload, 502),
	Entry("not run, deadline", verdict.NotRun, verdict.Deadline, 503),
	Entry("may have run, deadline", verdict.MayHaveRun, verdict.Deadline, 504),
	Entry("not run, connection lost", verdict.NotRun, verdict.ConnectionLost, 503),
	Entry("may have run, no replica", verdict.MayHaveRun, verdict.NoReplica, 502),
	Entry("ran and failed", verdict.RanFailed, verdict.UpstreamError, 502),
	Entry("unknown route", verdict.NotRun, verdict.UnknownRoute, 404),
)
