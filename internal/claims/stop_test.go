package claims

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// staticSource always returns the same state, so the ranks are never recomputed
// and the node keeps rank 0 for each range.
type staticSource struct{ fleetstate.Source }

func (staticSource) Current() *fleetstate.State { return nil }

var _ = Describe("a claim that reaches a worker that has just stopped", func() {
	It("is passed on to the next owner, not refused for good", func() {
		s := New("vm-1", settings.Default().Platform)
		s.source = staticSource{}
		w := newWorker(newStore(nil, "", 0), time.Second, s.lostOutcomes)
		stop := make(chan struct{})
		close(stop)
		w.run(context.Background(), stop)
		s.workers[claim.RangeOf("key")] = w

		_, err := s.Handle(context.Background(), peer.Identity{}, &swpb.Envelope{Body: &swpb.Envelope_ClaimRequest{
			ClaimRequest: &swpb.ClaimRequest{Key: "key", RequestId: "request", BudgetUs: uint64(time.Second.Microseconds())},
		}})
		Expect(err).To(HaveOccurred(), "a verdict in the reply is final for the caller")
		Expect(verdict.Of(err).Cause).To(Equal(verdict.NotOwner))
		Expect(verdict.Of(err).Outcome).To(Equal(verdict.NotRun))
	})
})
