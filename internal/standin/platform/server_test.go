package standinplatform_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
)

func TestStandinPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-in platform and client")
}

var _ = Describe("client and stand-in over HTTP", func() {
	var (
		server *standinplatform.Server
		client *platform.Client
		now    time.Time
		ctx    = context.Background()
	)
	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		now = time.Unix(0, 0)
		server = standinplatform.NewServer(standinplatform.NewStore(func() time.Time { return now }))
		go func() { _ = server.Serve(ln) }()
		client = platform.NewClient(ln.Addr().String(), ln.Addr().String(), 10*time.Second)
		DeferCleanup(func() { client.Close(); server.Close() })
	})
	put := func(expect uint64, v string, l platform.LeaseID) (uint64, error) {
		e, err := client.CompareAndSwap(ctx, "k", expect, []byte(v), l)
		return e.Revision, err
	}

	It("orders writes by revision and rejects a write with a stale revision", func() {
		r, err := put(0, "a", 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = put(0, "b", 0)
		Expect(err).To(MatchError(platform.ErrConflict))
		Expect(put(r, "c", 0)).To(BeNumerically(">", r))
		e, err := client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Value)).To(Equal("c"))
		_, err = client.Get(ctx, "none")
		Expect(err).To(MatchError(platform.ErrNotFound))
		Expect(client.Delete(ctx, "k", e.Revision)).To(Succeed())
		Expect(client.List(ctx, "")).To(BeEmpty())
	})

	It("distinguishes a write that was not applied from one with an unknown result", func() {
		server.SetFaults(standinplatform.Faults{Down: true})
		_, err := put(0, "a", 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		server.SetFaults(standinplatform.Faults{LoseRequests: 1})
		_, err = put(0, "a", 0)
		Expect(err).To(MatchError(platform.ErrUnknown))
		Expect(client.List(ctx, "")).To(BeEmpty())
		server.SetFaults(standinplatform.Faults{LoseReplies: 1})
		_, err = put(0, "a", 0)
		Expect(err).To(MatchError(platform.ErrUnknown))
		Expect(client.List(ctx, "")).To(HaveLen(1))
		dead := platform.NewClient("127.0.0.1:1", "127.0.0.1:1", time.Second)
		_, err = dead.CompareAndSwap(ctx, "k", 0, nil, 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		late, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		server.SetFaults(standinplatform.Faults{AddedLatency: time.Second})
		_, err = client.CompareAndSwap(late, "k2", 0, nil, 0)
		Expect(err).To(MatchError(platform.ErrUnknown))
	})

	It("deletes the keys of an expired lease and notifies the watch", func() {
		id, err := client.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		r, err := put(0, "a", id)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Renew(ctx, id)).To(Succeed())
		now = now.Add(2 * time.Second)
		c, err := client.Watch(ctx, "k", r, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Entries).To(HaveLen(1))
		Expect(c.Entries[0].Deleted).To(BeTrue())
		Expect(client.Renew(ctx, id)).To(MatchError(platform.ErrLeaseNotFound))
		_, err = put(0, "a", id)
		Expect(err).To(MatchError(platform.ErrLeaseNotFound))
	})

	It("returns stale reads and outdated lists of VMs", func() {
		r, err := put(0, "a", 0)
		Expect(err).NotTo(HaveOccurred())
		server.SetVMs([]platform.VM{{ID: "vm-1", Zone: "a", State: platform.VMLive}})
		server.SetFaults(standinplatform.Faults{StaleReads: true, ListLag: time.Minute})
		_, err = put(r, "b", 0)
		Expect(err).NotTo(HaveOccurred())
		e, err := client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Value)).To(Equal("a"))
		Expect(client.VMs(ctx)).To(BeEmpty())
		now = now.Add(time.Minute)
		Expect(client.VMs(ctx)).To(HaveLen(1))
		Expect(server.Calls()["vms"]).To(BeEquivalentTo(2))
		Expect(client.Calls()).To(BeEquivalentTo(5))
	})
})
