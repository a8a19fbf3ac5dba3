package upstream

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/tables"
	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream stand-in")
}

// oneReplica starts a fleet of one warm replica with two slots.
func oneReplica(o Options) (*Fleet, *Replica) {
	pool := &tables.Pool{
		Name: "p", Shards: 1, Slots: 2, Connections: 3, ConnectCost: time.Millisecond, ColdSlots: 1,
		Upstreams: []tables.Upstream{{ID: "p0-a", Addr: "127.0.0.1:0", Zone: "a", Version: "v1"}},
	}
	f := FromTables(&tables.Tables{Pools: map[string]*tables.Pool{"p": pool}}, o)
	Expect(f.Start(true)).To(Succeed())
	DeferCleanup(f.Close)
	f.Publish(7, nil)
	r, err := f.Replica("p0-a")
	Expect(err).NotTo(HaveOccurred())
	return f, r
}

type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(r *Replica) *client {
	c, err := net.Dial("tcp", r.Config().Addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return &client{conn: c, in: bufio.NewReader(c)}
}

func (c *client) send(id, body string, headers ...string) {
	req, _ := http.NewRequest(http.MethodPost, "http://u"+wire.PathRun, strings.NewReader(body))
	req.Header.Set(wire.HeaderRequestID, id)
	req.Header.Set(wire.HeaderAttempt, "1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	_ = req.Write(c.conn) // a reset is reported by read
}

func (c *client) read() (*http.Response, []byte, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func (c *client) roundTrip(id, body string, headers ...string) (*http.Response, []byte, error) {
	c.send(id, body, headers...)
	return c.read()
}

var _ = Describe("a replica", func() {
	It("answers with a part that a checker can recompute", func() {
		f, r := oneReplica(Options{})
		resp, body, err := dial(r).roundTrip("q1", "x", wire.HeaderSnapshot, "7")
		Expect(err).NotTo(HaveOccurred())
		var part Part
		Expect(json.Unmarshal(body, &part)).To(Succeed())
		Expect(part).To(Equal(NewPart("q1", "p", 7, 0, tables.KeySpace, []byte("x"))))
		Expect(resp.Header.Get(wire.HeaderRange)).To(Equal("0-65536"))
		Expect(resp.Header.Get(wire.HeaderState)).To(Equal(wire.StateReady))
		Expect(f.RequestLog.Records()).To(ConsistOf(HaveField("Ran", true)))
	})

	It("returns additive sums", func() {
		whole := Sum("p", 7, 0, tables.KeySpace, []byte("x"))
		Expect(Sum("p", 7, 0, 100, []byte("x")) + Sum("p", 7, 100, tables.KeySpace, []byte("x"))).To(Equal(whole))
	})

	It("rejects a request for a snapshot that it does not hold without executing it", func() {
		f, r := oneReplica(Options{})
		f.Publish(8, Layout{"p": {0, 9, tables.KeySpace}})
		f.Drop(7)
		resp, _, err := dial(r).roundTrip("q1", "x", wire.HeaderSnapshot, "7")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(wire.StatusSnapshotGone))
		Expect(resp.Header.Get(wire.HeaderNotRun)).To(Equal("yes"))
		Expect(resp.Header.Get(wire.HeaderSnapshots)).To(Equal("8"))
	})

	It("rejects requests while its queue is full", func() {
		f, r := oneReplica(Options{Service: ServiceTime{Mean: time.Hour}})
		r.process.slots.queue = 0
		a, b, c := dial(r), dial(r), dial(r)
		Eventually(r.Connections, "10s").Should(Equal(3))
		a.send("a", "x")
		b.send("b", "x")
		Eventually(func() int { n, _ := r.process.slots.load(); return n }, "10s").Should(Equal(2))
		resp, _, err := c.roundTrip("c", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(wire.StatusRejected))
		Expect(resp.Header.Get(wire.HeaderNotRun)).To(Equal("yes"))
		Expect(f.RequestLog.Records()).To(ContainElement(HaveField("Outcome", OutcomeRejected)))
	})

	It("stops the execution at the deadline", func() {
		f, r := oneReplica(Options{Service: ServiceTime{Mean: time.Hour}})
		resp, _, err := dial(r).roundTrip("a", "x", wire.HeaderBudget, "20000")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(f.RequestLog.Records()).To(ConsistOf(HaveField("Outcome", OutcomeExpired)))
	})

	It("cancels an execution by its request ID and attempt", func() {
		f, r := oneReplica(Options{Service: ServiceTime{Mean: time.Hour}})
		c := dial(r)
		c.send("a", "x")
		Eventually(f.RequestLog.Records, "10s").Should(ContainElement(HaveField("Ran", true)))
		r.process.cancel(runKey{"a", "1"})
		resp, _, err := c.read()
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(wire.StatusCancelled))
		Expect(resp.Header.Get(wire.HeaderNotRun)).To(BeEmpty())
	})

	It("is cold and has a new start ID after a crash on a poison payload", func() {
		f, r := oneReplica(Options{Cold: ColdStart{SlowFactor: 2, WarmAfter: 2, RestartDelay: time.Millisecond}})
		Expect(r.ApplyFault("poison", "bad", "")).To(Succeed())
		before := r.process.startID
		_, _, err := dial(r).roundTrip("q1", "very bad")
		Expect(err).To(HaveOccurred())
		Eventually(r.Running, "10s").Should(BeTrue())
		resp, _, err := dial(r).roundTrip("q2", "good")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get(wire.HeaderStartID)).NotTo(Equal(before))
		Expect(resp.Header.Get(wire.HeaderState)).To(Equal(wire.StateCold))
		Expect(f.RequestLog.Records()[0].Outcome).To(Equal(OutcomeCrashed))
		Expect(r.ColdPeak()).To(Equal(1))
	})

	It("restarts after every crash, also if the restart delay is nearly zero", func() {
		_, r := oneReplica(Options{Cold: ColdStart{SlowFactor: 2, WarmAfter: 2, RestartDelay: time.Nanosecond}})
		for range 300 {
			r.mu.Lock()
			p := r.process
			r.mu.Unlock()
			r.crash(p)
			Eventually(r.Running, "5s", "100us").Should(BeTrue())
		}
	})

	It("resets connections above its limit, and can be started again after a kill", func() {
		_, r := oneReplica(Options{})
		for range 3 {
			_, _, err := dial(r).roundTrip("q", "x")
			Expect(err).NotTo(HaveOccurred())
		}
		// The reset may come before or after connect returns.
		conn, err := net.Dial("tcp", r.Config().Addr)
		if err == nil {
			_, err = conn.Read(make([]byte, 1))
			Expect(conn.Close()).To(Succeed())
		}
		Expect(err).To(MatchError(syscall.ECONNRESET))
		r.Kill()
		Expect(r.Running()).To(BeFalse())
		Expect(r.Start(false)).To(Succeed())
	})

	It("does not answer on stalled connections while new ones work", func() {
		_, r := oneReplica(Options{})
		old := dial(r)
		_, _, err := old.roundTrip("q1", "x")
		Expect(err).NotTo(HaveOccurred())
		r.StallConnections()
		old.send("q2", "x")
		_, _, err = dial(r).roundTrip("q3", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(old.in.Buffered()).To(BeZero())
	})

	DescribeTable("sends faulty answers", func(fault AnswerFault, judge func(c *client)) {
		_, r := oneReplica(Options{})
		c := dial(r)
		_, _, err := c.roundTrip("first", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.ApplyFault(string(fault), "1", "")).To(Succeed())
		judge(c)
	},
		Entry("cut", AnswerCut, func(c *client) {
			_, _, err := c.roundTrip("q", "x")
			Expect(err).To(HaveOccurred())
		}),
		Entry("crossed", AnswerCrossed, func(c *client) {
			resp, _, err := c.roundTrip("q", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Header.Get(wire.HeaderRequestID)).To(Equal("first"))
		}),
		Entry("truncated", AnswerTruncated, func(c *client) {
			_, body, err := c.roundTrip("q", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(json.Valid(body)).To(BeFalse())
		}),
		Entry("duplicated", AnswerDuplicated, func(c *client) {
			for range 2 {
				c.send("q", "x")
			}
			for range 4 {
				resp, _, err := c.read()
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Header.Get(wire.HeaderRequestID)).To(Equal("q"))
			}
		}),
	)
})
