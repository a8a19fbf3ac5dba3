package connpool_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// lineCodec speaks "ID\n" and answers "ID word\n".
type lineCodec struct{}

func (lineCodec) AppendRequest(dst []byte, r *connpool.Request, _ string, _ time.Duration) []byte {
	return append(append(dst, r.ID...), '\n')
}

func (lineCodec) ReadReply(br *bufio.Reader, _ *connpool.Request) (*connpool.Reply, error) {
	line, err := br.ReadString('\n')
	if err != nil {
		return nil, err
	}
	id, word, ok := strings.Cut(strings.TrimSpace(line), " ")
	if !ok {
		return nil, errors.New("no word")
	}
	return &connpool.Reply{RequestID: id, Status: 200, Receipt: word, Close: word == "close"}, nil
}

// replica is a server whose answers a test writes.
type replica struct {
	addr  string
	conns atomic.Int32
	lines chan asked
}

type asked struct {
	id   string
	conn net.Conn
}

func (a asked) answer(format string, args ...any) {
	_, err := fmt.Fprintf(a.conn, format, args...)
	Expect(err).NotTo(HaveOccurred())
}

func newReplica() *replica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	r := &replica{addr: ln.Addr().String(), lines: make(chan asked, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.conns.Add(1)
			go func() {
				br := bufio.NewReader(c)
				for {
					line, err := br.ReadString('\n')
					if err != nil {
						_ = c.Close()
						return
					}
					r.lines <- asked{strings.TrimSpace(line), c}
				}
			}()
		}
	}()
	return r
}

func (r *replica) next() asked {
	var a asked
	Eventually(r.lines, "5s").Should(Receive(&a))
	return a
}

func peer(r *replica, limit int) *connpool.Pool {
	p := connpool.NewPool("r", r.addr, limit, lineCodec{}, connpool.DialTCP, func(string) {})
	DeferCleanup(p.Close)
	return p
}

// send starts a flight; its end comes over the channel.
func send(p *connpool.Pool, id string) (*connpool.Attempt, chan *connpool.Attempt) {
	done := make(chan *connpool.Attempt, 2)
	f := &connpool.Attempt{Request: &connpool.Request{ID: id}, Deadline: time.Now().Add(10 * time.Second), SentAt: time.Now(), Done: func(f *connpool.Attempt) { done <- f }}
	p.Send(f)
	return f, done
}

func ended(done chan *connpool.Attempt) *connpool.Attempt {
	var f *connpool.Attempt
	EventuallyWithOffset(1, done, "5s").Should(Receive(&f))
	return f
}

var _ = Describe("Peer", func() {
	It("keeps a connection for the next request", func() {
		r := newReplica()
		p := peer(r, 4)
		for _, id := range []string{"a", "b", "c"} {
			_, done := send(p, id)
			a := r.next()
			Expect(a.id).To(Equal(id))
			a.answer("%s ok\n", id)
			Expect(ended(done).Reply.Receipt).To(Equal("ok"))
		}
		Expect(r.conns.Load()).To(BeEquivalentTo(1))
	})

	It("lets requests wait for a connection beyond its limit, in order", func() {
		r := newReplica()
		p := peer(r, 1)
		_, first := send(p, "a")
		_, second := send(p, "b")
		r.next().answer("a ok\n")
		Expect(ended(first).Reply.RequestID).To(Equal("a"))
		r.next().answer("b ok\n")
		Expect(ended(second).Reply.RequestID).To(Equal("b"))
		Expect(r.conns.Load()).To(BeEquivalentTo(1))
	})

	It("skips an answer to another request that comes before the right one", func() {
		r := newReplica()
		p := peer(r, 1)
		_, done := send(p, "a")
		a := r.next()
		a.answer("old stale\n")
		a.answer("a ok\n")
		Expect(ended(done).Reply.Receipt).To(Equal("ok"))
	})

	It("drops a connection that brings bytes after the answer, and opens another", func() {
		r := newReplica()
		p := peer(r, 2)
		_, done := send(p, "a")
		r.next().answer("a ok\na again\n")
		Expect(ended(done).Reply.Receipt).To(Equal("ok"))
		Eventually(func() string {
			_, done := send(p, "b")
			a := r.next()
			a.answer("b new\n")
			return ended(done).Reply.Receipt
		}).Should(Equal("new"))
		Expect(r.conns.Load()).To(BeEquivalentTo(2))
	})

	It("says not-run only where no byte can have arrived", func() {
		refused := connpool.NewPool("r", "127.0.0.1:1", 1, lineCodec{}, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }, func(string) {})
		_, done := send(refused, "a")
		Expect(ended(done).Err).To(HaveField("Outcome", verdict.NotRun))

		r := newReplica()
		p := peer(r, 1)
		_, done = send(p, "a")
		Expect(r.next().conn.Close()).To(Succeed())
		Expect(ended(done).Err).To(And(HaveField("Outcome", verdict.MayHaveRun), HaveField("Cause", verdict.ConnectionLost)))
	})

	It("notices that an idle connection has ended before the next request needs it", func() {
		r := newReplica()
		p := peer(r, 1)
		_, done := send(p, "a")
		a := r.next()
		a.answer("a ok\n")
		ended(done)
		Expect(a.conn.Close()).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		_, done = send(p, "b")
		r.next().answer("b ok\n")
		Expect(ended(done).Reply.Receipt).To(Equal("ok"))
	})

	It("ends a flight exactly once when it is withdrawn, cut or answered", func() {
		r := newReplica()
		p := peer(r, 1)
		inHand, doneInHand := send(p, "a")
		waiting, doneWaiting := send(p, "b")
		p.Cancel(waiting, time.Second)
		Expect(ended(doneWaiting).Err).To(And(HaveField("Outcome", verdict.NotRun), HaveField("Cause", verdict.Cancelled)))
		a := r.next()
		p.Cancel(inHand, 10*time.Millisecond)
		p.Sweep(time.Now().Add(time.Second))
		Expect(ended(doneInHand).Err).To(HaveField("Outcome", verdict.MayHaveRun))
		_, _ = fmt.Fprint(a.conn, "a late\n") // the connection may be gone
		p.Sweep(time.Now().Add(time.Hour))
		Consistently(doneInHand, "50ms").ShouldNot(Receive())
		Consistently(doneWaiting, "10ms").ShouldNot(Receive())
	})

	It("keeps the connection of a withdrawn flight that is answered in time", func() {
		r := newReplica()
		p := peer(r, 1)
		f, done := send(p, "a")
		a := r.next()
		p.Cancel(f, time.Minute)
		a.answer("a ok\n")
		Expect(ended(done).Reply).NotTo(BeNil())
		_, done = send(p, "b")
		r.next().answer("b ok\n")
		ended(done)
		Expect(r.conns.Load()).To(BeEquivalentTo(1))
	})

	It("gives up flights that are overdue: waiting ones did not run", func() {
		r := newReplica()
		p := peer(r, 1)
		_, inHand := send(p, "a")
		_, waiting := send(p, "b")
		r.next()
		p.Sweep(time.Now().Add(11 * time.Second))
		Expect(ended(waiting).Err.Outcome).To(Equal(verdict.NotRun))
		Expect(ended(inHand).Err.Outcome).To(Equal(verdict.MayHaveRun))
	})

	It("drops the idle connections that are older than one that went silent", func() {
		r := newReplica()
		p := peer(r, 1)
		_, done := send(p, "a")
		r.next().answer("a ok\n")
		ended(done)
		p.DropIdle(time.Now().Add(-time.Hour))
		_, done = send(p, "b")
		r.next().answer("b ok\n")
		ended(done)
		Expect(r.conns.Load()).To(BeEquivalentTo(1))
		p.DropIdle(time.Now().Add(time.Second))
		_, done = send(p, "c")
		r.next().answer("c ok\n")
		ended(done)
		Expect(r.conns.Load()).To(BeEquivalentTo(2))
	})

	It("refuses flights once it is closed, and lets one in hand finish", func() {
		r := newReplica()
		p := peer(r, 1)
		_, inHand := send(p, "a")
		a := r.next()
		p.Close()
		_, done := send(p, "b")
		Expect(ended(done).Err).To(HaveField("Outcome", verdict.NotRun))
		a.answer("a ok\n")
		Expect(ended(inHand).Reply.Receipt).To(Equal("ok"))
	})
})
