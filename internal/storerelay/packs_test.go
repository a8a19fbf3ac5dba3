package storerelay_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// countedConn counts the bytes that are written.
type countedConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// largeValue returns a value of objects, one of which is named.
func largeValue(objects int, name string) string {
	var b strings.Builder
	for i := range objects {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%d.example","prefix":"/%x/"},`, i*7919, i%90, i*31)
	}
	return b.String() + `{"name":"` + name + `"}`
}

// oldBuild answers store requests as a build that knows no packs.
func oldBuild(value string) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "fleet", Node: "old"}}, peer.HandlerFunc(
		func(_ context.Context, _ peer.Identity, env *swpb.Envelope) (*swpb.Envelope, error) {
			reply := &swpb.StoreReply{Status: swpb.StoreStatus_STORE_STATUS_OK, Revision: 7}
			reply.Entries = []*swpb.StoreEntry{{Key: "k", Value: []byte(value), Revision: 7}}
			if !env.GetStoreRequest().GetSnapshot() {
				time.Sleep(50 * time.Millisecond)
				reply.Entries = nil
			}
			return &swpb.Envelope{Body: &swpb.Envelope_StoreReply{StoreReply: reply}}, nil
		}))
	DeferCleanup(server.Close)
	return ln.Addr().String()
}

// relayName returns the name of a VM that is a relay of a zone with vm-0 to vm-(n-1).
func relayName(n int) string {
	for i := 0; ; i++ {
		name := fmt.Sprint("vm-old-", i)
		cands := []ownership.Candidate{{Node: name, Zone: "a"}}
		for j := range n {
			cands = append(cands, ownership.Candidate{Node: fmt.Sprint("vm-", j), Zone: "a"})
		}
		if relay.Choose("a", cands, 1)[0] == name {
			return name
		}
	}
}

var _ = Describe("a large value", func() {
	It("goes to the VMs of a zone as its difference to the former one", func() {
		st, written := newStore(), &atomic.Int64{}
		st.wrap = func(c net.Conn) net.Conn { return countedConn{c, written} }
		st.set(largeValue(4000, "first"))
		vms := newZone(st, 8)
		expectAll(vms, largeValue(4000, "first"), 5*time.Second)
		time.Sleep(time.Second)
		before := written.Load()
		for i := range 3 {
			st.set(largeValue(4000, fmt.Sprint("change-", i)))
			expectAll(vms, largeValue(4000, fmt.Sprint("change-", i)), 3*time.Second)
		}
		Expect(written.Load()-before).To(BeNumerically("<", 3*8*4<<10), "a value has 300 KB")
	})

	It("is read whole from a VM of a build that knows no packs", func() {
		st := newStore()
		value := largeValue(4000, "old")
		nodes := []vmregistry.Node{{Name: relayName(7), Zone: "a", Addr: oldBuild(value)}}
		var vms []*vm
		for i := range 7 {
			name := fmt.Sprintf("vm-%d", i)
			st.setDisconnected(name, true)
			v := newVM(st, name, "a", func(*vm) {})
			vms, nodes = append(vms, v), append(nodes, v.Node)
		}
		for _, v := range vms {
			v.watch(nodes)
		}
		expectAll(vms, value, 5*time.Second)
	})

	It("goes whole to a VM of a build that knows no packs", func() {
		st := newStore()
		st.set(largeValue(4000, "new"))
		vms := newZone(st, 8)
		expectAll(vms, largeValue(4000, "new"), 5*time.Second)
		client := peer.NewClient(vms[0].Addr, peer.Options{Self: peer.Identity{Fleet: "fleet", Node: "old"}})
		DeferCleanup(client.Close)
		whole := 0
		for _, v := range vms {
			client := peer.NewClient(v.Addr, peer.Options{Self: peer.Identity{Fleet: "fleet", Node: "old"}})
			env, err := client.Call(context.Background(), &swpb.Envelope{Body: &swpb.Envelope_StoreRequest{StoreRequest: &swpb.StoreRequest{Snapshot: true}}})
			Expect(err).NotTo(HaveOccurred())
			client.Close()
			reply := env.GetStoreReply()
			Expect(reply.GetPack()).To(BeNil())
			if len(reply.GetEntries()) == 1 && string(reply.GetEntries()[0].GetValue()) == largeValue(4000, "new") {
				whole++
			}
		}
		Expect(whole).To(BeNumerically(">=", 2), "the relays")
	})
})
