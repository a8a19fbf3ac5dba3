package fleetstate_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestFleetState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetstate")
}

var _ = Describe("Holder", func() {
	It("starts with an empty state and notifies subscribers of a change", func() {
		h := fleetstate.NewHolder()
		Expect(h.Current().Tables).To(BeNil())
		changed, cancel := h.Subscribe()
		defer cancel()
		h.Store(&fleetstate.State{Version: 2})
		h.Store(&fleetstate.State{Version: 3})
		Expect(changed).To(Receive())
		Expect(changed).NotTo(Receive())
		Expect(h.Current().Version).To(BeEquivalentTo(3))
	})
})

// feedTables is the text form of tables with one pool.
const feedTables = "[pool p]\nshards = 1\nslots = 1\nconnections = 1\nupstream.u = 127.0.0.1:9 zone=a shard=0\n"

var _ = Describe("Client", func() {
	It("applies the replies of the control process and never returns to older tables", func() {
		replies := make(chan *swpb.FeedReply, 4)
		requests := make(chan *swpb.FeedRequest, 16)
		handler := func(ctx context.Context, _ peer.Identity, req *swpb.Envelope) (*swpb.Envelope, error) {
			requests <- req.GetFeedRequest()
			select {
			case r := <-replies:
				return &swpb.Envelope{Body: &swpb.Envelope_FeedReply{FeedReply: r}}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "f"}}, peer.HandlerFunc(handler))
		DeferCleanup(srv.Close)
		c := fleetstate.NewClient(srv.Addr(), []string{peer.RoleEntry}, peer.Options{Self: peer.Identity{Fleet: "f"}}, zerolog.Nop())
		Expect(c.Start(context.Background(), nil)).To(Succeed())
		DeferCleanup(func() { Expect(c.Stop(context.Background())).To(Succeed()) })
		Expect(c.Ready()).To(MatchError(fleetstate.ErrNoTables))
		member := &swpb.Member{Node: "vm-1", State: swpb.MemberState_MEMBER_STATE_ALIVE}
		replies <- &swpb.FeedReply{Revision: 7, Tables: []byte(feedTables), ViewVersion: 3, HasMembers: true, Members: []*swpb.Member{member}}
		Eventually(c.Ready, "10s").Should(Succeed())
		replies <- &swpb.FeedReply{
			Revision: 6, Tables: []byte(feedTables), ViewVersion: 1, HasMembers: true,
			Vetoes: []*swpb.Veto{{Pool: "p", Version: "v2", Revision: 7}, {Pool: "p", Version: "v2", Revision: 9}},
			Signs:  []*swpb.UpstreamSign{{Upstream: "u", Leaving: true}},
		}
		Eventually(func() bool { return c.Current().Draining["u"] }, "10s").Should(BeTrue())
		Expect(c.Current().Tables.Revision).To(BeEquivalentTo(7))
		Expect(c.Current().Vetoes).To(HaveLen(1), "the veto of a rollout that is not in the tables is dropped, the one of a newer revision is kept")
		Expect((<-requests).GetRoles()).To(Equal([]string{peer.RoleEntry}))
		Expect((<-requests).GetHaveView()).To(BeEquivalentTo(3))
	})
})
