package upstreamclient_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

func TestUpstreamClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstreamclient")
}

// testTimeout is far longer than a call over loopback takes.
const testTimeout = 10 * time.Second

const echo = "Sw-Request-Id: r1\r\nSw-Attempt: 2\r\n"

// scriptedUpstream returns a Conn to a server that answers each request with the
// next text and closes the connection after the last.
func scriptedUpstream(texts ...string) *upstreamclient.Conn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		for _, text := range texts {
			var req fasthttp.Request
			if req.Read(br) != nil {
				return
			}
			_, _ = nc.Write([]byte(text))
		}
	}()
	c, err := upstreamclient.Dial(context.Background(), ln.Addr().String(), upstreamclient.DialTCP)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	c.SetMaxAnswerBytes(64)
	return c
}

func respond(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

func testAttempt() *upstreamclient.Attempt {
	return &upstreamclient.Attempt{RequestID: "r1", Number: 2, Route: "q", Pool: "p", Snapshot: 7, Budget: time.Second, Payload: []byte("x")}
}

// testContext returns a context that ends after testTimeout.
func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	DeferCleanup(cancel)
	return ctx
}

// lateTimerContext is past its deadline but not yet done, as in a process that
// was paused and whose timers have not fired yet.
type lateTimerContext struct{ context.Context }

func (lateTimerContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

var _ = Describe("Conn", func() {
	good := respond(200, echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nSw-State: ready\r\nSw-Load: slots=4 in-flight=1 queue=0\r\n", "part")

	It("returns complete answers and can be reused", func() {
		c := scriptedUpstream(good, good)
		for range 2 {
			Expect(c.Usable()).To(BeTrue())
			a, rep, err := c.Do(testContext(), testAttempt())
			Expect(err).NotTo(HaveOccurred())
			Expect(string(a.Payload)).To(Equal("part"))
			Expect(a.Range.Hi).To(BeEquivalentTo(9))
			Expect(rep.Load.Slots).To(Equal(4))
		}
	})

	It("is not usable after the upstream has closed it or sent a byte outside an answer", func() {
		for _, text := range []string{good, good + "H"} {
			c := scriptedUpstream(text)
			_, _, err := c.Do(testContext(), testAttempt())
			Expect(err).NotTo(HaveOccurred())
			Eventually(c.Usable).WithTimeout(testTimeout).Should(BeFalse())
		}
	})

	It("reports not-run when the connection fails before any byte was written", func() {
		c := scriptedUpstream(good)
		c.Close()
		_, _, err := c.Do(testContext(), testAttempt())
		Expect(verdict.Of(err).Outcome).To(Equal(verdict.NotRun))
	})

	It("sends nothing after the deadline, even if the timer has not fired yet", func() {
		c := scriptedUpstream(good)
		_, _, err := c.Do(lateTimerContext{testContext()}, testAttempt())
		Expect(*verdict.Of(err)).To(HaveField("Outcome", verdict.NotRun))
		Expect(*verdict.Of(err)).To(HaveField("Cause", verdict.Deadline))
		Expect(c.Usable()).To(BeTrue())
	})

	It("fails with may-have-run when the context ends", func() {
		c := scriptedUpstream("", good)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, _, err := c.Do(ctx, testAttempt())
		Expect(*verdict.Of(err)).To(HaveField("Outcome", verdict.MayHaveRun))
		Expect(*verdict.Of(err)).To(HaveField("Cause", verdict.Deadline))
		Expect(c.Usable()).To(BeFalse())
	})
})

// Guards against reading 410 as a proof that nothing ran, in an answer to an attempt that
// named no snapshot.
var _ = DescribeTable("an answer without a snapshot that was not requested", func(fields string, outcome verdict.Outcome) {
	c := scriptedUpstream(respond(410, echo+fields, ""))
	a := testAttempt()
	a.Snapshot = 0
	_, _, err := c.Do(testContext(), a)
	Expect(verdict.Of(err).Outcome).To(Equal(outcome))
},
	Entry("proves nothing by its status", "", verdict.RanFailed),
	Entry("proves that nothing ran by the header", "Sw-Not-Run: yes\r\n", verdict.NotRun),
)

var _ = DescribeTable("an answer that is not a valid result",
	func(text string, outcome verdict.Outcome, cause verdict.Cause, usable bool) {
		texts := []string{text, ""}
		if cause == verdict.ConnectionLost {
			texts = texts[:1] // the upstream closes after its last text
		}
		c := scriptedUpstream(texts...)
		_, _, err := c.Do(testContext(), testAttempt())
		v := verdict.Of(err)
		Expect(v).NotTo(BeNil())
		Expect(v.Outcome).To(Equal(outcome), v.Error())
		Expect(v.Cause).To(Equal(cause), v.Error())
		Expect(c.Usable()).To(Equal(usable))
	},
	Entry("crossed", respond(200, "Sw-Request-Id: r9\r\nSw-Attempt: 2\r\nSw-Snapshot: 7\r\nSw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of an earlier attempt", respond(200, "Sw-Request-Id: r1\r\nSw-Attempt: 1\r\nSw-Snapshot: 7\r\nSw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("not run, of another request", respond(503, "Sw-Request-Id: r9\r\nSw-Attempt: 2\r\nSw-Not-Run: yes\r\n", ""), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("truncated", "HTTP/1.1 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nContent-Length: 9\r\n\r\nabc", verdict.MayHaveRun, verdict.ConnectionLost, false),
	Entry("truncated in the headers", "HTTP/1.1 200 X\r\nSw-Requ", verdict.MayHaveRun, verdict.ConnectionLost, false),
	Entry("empty", "", verdict.MayHaveRun, verdict.ConnectionLost, false),
	Entry("oversized", respond(200, echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\n", strings.Repeat("x", 65)), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("oversized headers", "HTTP/1.1 200 X\r\nX: "+strings.Repeat("x", 9000)+"\r\n\r\n", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("without length", "HTTP/1.1 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\n\r\nabc", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of another snapshot", respond(200, echo+"Sw-Snapshot: 8\r\nSw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("without snapshot", respond(200, echo+"Sw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with a bad range", respond(200, echo+"Sw-Snapshot: 7\r\nSw-Range: 9-0\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("shed", respond(503, echo+"Sw-Not-Run: yes\r\nRetry-After: 1\r\n", ""), verdict.NotRun, verdict.Shed, true),
	Entry("shed without the not-run header", respond(503, echo, ""), verdict.RanFailed, verdict.UpstreamError, true),
	Entry("snapshot gone", respond(410, echo, ""), verdict.NotRun, verdict.SnapshotGone, true),
	Entry("too many requests without the not-run header", respond(429, echo, ""), verdict.RanFailed, verdict.UpstreamError, true),
	Entry("failed", respond(500, echo, ""), verdict.RanFailed, verdict.UpstreamError, true),
	Entry("cancelled", respond(499, echo, ""), verdict.MayHaveRun, verdict.Cancelled, true),
	Entry("status 000", "HTTP/1.1 000 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nContent-Length: 1\r\n\r\nx", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("status 000 with the not-run header", "HTTP/1.1 000 X\r\n"+echo+"Sw-Not-Run: yes\r\nContent-Length: 0\r\n\r\n", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("status 600", respond(600, echo, ""), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("status 999 with the not-run header", respond(999, echo+"Sw-Not-Run: yes\r\n", ""), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of HTTP/9.9", "HTTP/9.9 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nContent-Length: 1\r\n\r\nx", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with a length and chunks", "HTTP/1.1 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of HTTP/1.0 with chunks", "HTTP/1.0 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of HTTP/1.0 with chunks and a length", "HTTP/1.0 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nTransfer-Encoding: chunked\r\nContent-Length: 11\r\n\r\n1\r\nx\r\n0\r\n\r\n", verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with two request IDs", respond(200, echo+"Sw-Request-Id: r9\r\nSw-Snapshot: 7\r\nSw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of two attempts", respond(200, echo+"sw-attempt: 1\r\nSw-Snapshot: 7\r\nSw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of two snapshots", respond(200, echo+"Sw-Snapshot: 7\r\nSw-Snapshot: 8\r\nSw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("of two ranges", respond(200, echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nSw-Range: 0-19\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with the not-run header, and its opposite", respond(503, echo+"Sw-Not-Run: yes\r\nSw-Not-Run: no\r\n", ""), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with a blank in the name of a field", respond(200, echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nX Foo: 1\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with a blank at the end of a name", respond(503, echo+"Sw-Not-Run : yes\r\n", ""), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with a control byte in the name of a field", respond(200, echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nX\x01Foo: 1\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("with a folded line", respond(200, echo+" folded\r\nSw-Snapshot: 7\r\nSw-Range: 0-9\r\n", "x"), verdict.MayHaveRun, verdict.BadAnswer, false),
	Entry("not HTTP", "what?\r\n\r\n", verdict.MayHaveRun, verdict.BadAnswer, false),
)

var _ = DescribeTable("a status check and a cancellation whose answer is no answer", func(text string) {
	_, err := scriptedUpstream(text).Status(testContext())
	Expect(verdict.Of(err)).To(HaveField("Cause", verdict.BadAnswer))
	err = scriptedUpstream(text).Cancel(testContext(), "r1", 2)
	Expect(verdict.Of(err)).To(HaveField("Cause", verdict.BadAnswer))
},
	Entry("status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a blank in the name of a field", respond(200, "X Foo: 1\r\n", "{}")),
	Entry("a control byte in the name of a field", respond(200, "X\x01Foo: 1\r\n", "{}")),
	Entry("chunks of HTTP/1.0", "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"),
	Entry("two request IDs", respond(200, "Sw-Request-Id: r1\r\nSw-Request-Id: r9\r\n", "{}")),
)
