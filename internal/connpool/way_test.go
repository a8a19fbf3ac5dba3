package connpool_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// blockedDial opens connections until it is blocked. It counts attempts to open one.
type blockedDial struct {
	blocked atomic.Bool
	dials   atomic.Int64
}

func (d *blockedDial) dial(ctx context.Context, addr string) (net.Conn, error) {
	d.dials.Add(1)
	if d.blocked.Load() {
		return nil, errors.New("refused")
	}
	return connpool.DialTCP(ctx, addr)
}

var _ = Describe("a pool that can open no more connections", func() {
	var r *replica
	var d *blockedDial
	var p *connpool.Pool
	var first chan *connpool.Attempt
	var held received // the request on the only connection

	queue := func(id string) (*connpool.Attempt, chan *connpool.Attempt) {
		done := make(chan *connpool.Attempt, 2)
		a := &connpool.Attempt{Request: &connpool.Request{ID: id}, Queue: true, Deadline: time.Now().Add(10 * time.Second), SentAt: time.Now(), Done: func(a *connpool.Attempt) { done <- a }}
		p.Send(a)
		return a, done
	}

	BeforeEach(func() {
		r, d = newReplica(), &blockedDial{}
		p = connpool.NewPool("r", r.addr, 4, lineCodec{}, d.dial, func(string) {})
		DeferCleanup(func() { p.Close() })
		_, first = send(p, "a")
		held = r.next()
		d.blocked.Store(true)
	})

	// Guards against ending an attempt that the connection in use could carry soon
	// (issue 60): with the last connections of a VM, most of its requests were refused.
	It("keeps the attempts that may queue for the connections that live, in order", func() {
		_, second := queue("b")
		_, third := queue("c")
		Eventually(func() bool { return p.Way().RefusedAt.IsZero() }, "5s").Should(BeFalse())
		Expect(p.Way()).To(And(HaveField("Open", 1), HaveField("Idle", 0), HaveField("Waiting", 2)))
		Consistently(second, "100ms").ShouldNot(Receive())
		Expect(d.dials.Load()).To(BeNumerically("<=", 1+4), "no further connections are tried while the attempts queue")
		held.reply("a ok\n")
		Expect(ended(first).Reply.RequestID).To(Equal("a"))
		r.next().reply("b ok\n")
		Expect(ended(second).Reply.RequestID).To(Equal("b"))
		r.next().reply("c ok\n")
		Expect(ended(third).Reply.RequestID).To(Equal("c"))
		Expect(p.Way()).To(HaveField("Idle", 1))
	})

	It("ends the others at once, as not run", func() {
		_, queued := queue("b")
		_, other := send(p, "c")
		v := ended(other).Err
		Expect(v.Outcome).To(Equal(verdict.NotRun))
		Expect(v.Cause).To(Equal(verdict.ConnectFailed))
		Consistently(queued, "50ms").ShouldNot(Receive())
	})

	It("ends the attempts that queue when the last connection ends", func() {
		_, second := queue("b")
		_, third := queue("c")
		Expect(held.conn.Close()).To(Succeed())
		Expect(ended(first).Err.Outcome).To(Equal(verdict.MayHaveRun))
		for _, done := range []chan *connpool.Attempt{second, third} {
			Expect(ended(done).Err.Outcome).To(Equal(verdict.NotRun))
		}
	})

	It("sends what queues on a connection that a probe opens, and opens more again", func() {
		_, second := queue("b")
		_, third := queue("c")
		Eventually(func() bool { return p.Way().RefusedAt.IsZero() }, "5s").Should(BeFalse())
		Expect(p.Probe(context.Background())).NotTo(Succeed())
		d.blocked.Store(false)
		Expect(p.Probe(context.Background())).To(Succeed())
		Expect(p.Way().RefusedAt).To(BeZero())
		for range 2 {
			q := r.next()
			q.reply("%s ok\n", q.id)
		}
		Expect(ended(second).Reply).NotTo(BeNil())
		Expect(ended(third).Reply).NotTo(BeNil())
		Eventually(p.Way, "5s").Should(And(HaveField("Open", BeNumerically(">=", 3)), HaveField("Waiting", 0)))
	})
})
