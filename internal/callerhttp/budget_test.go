package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/callerhttp"
	"github.com/sapphirewall/sapphirewall/internal/membudget"
)

// serveWithin serves with the budget of a VM with so much memory.
func serveWithin(memory int64, maxConns int, h callerhttp.Handler) (*callerhttp.Server, *membudget.Budget) {
	b := membudget.New(memory)
	s := callerhttp.New(h)
	s.SetBudget(b, maxConns, zerolog.Nop())
	s.SetConnectionBuffer(8 << 10)
	s.SetLimits(callerhttp.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	Expect(s.Listen("127.0.0.1:0")).To(Succeed())
	DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
	return s, b
}

const large = 512 << 10

func largeBody(size int) string {
	return post + fmt.Sprintf("Content-Length: %d\r\n\r\n", large) + strings.Repeat("x", size)
}

// Guards against an amount that isn't returned: in time, all callers would be refused.
var _ = DescribeTable("the budget is whole again after a request that", func(text string, status int, close bool) {
	s, b := serveWithin(64<<20, 0, func(x *callerhttp.Exchange) {
		x.Account.Force(1000)
		echo(x)
	})
	c := dial(s)
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	if close {
		Eventually(b.Used).Should(BeNumerically(">", 8<<10))
		Expect(c.Close()).To(Succeed())
	} else {
		var resp fasthttp.Response
		Expect(resp.Read(bufio.NewReader(c))).To(Succeed())
		Expect(resp.StatusCode()).To(Equal(status))
		Expect(c.Close()).To(Succeed())
	}
	Eventually(b.Used, "3s").Should(BeZero())
},
	Entry("is answered", largeBody(large), 200, false),
	Entry("is answered, in chunks", post+"Transfer-Encoding: chunked\r\n\r\n80000\r\n"+strings.Repeat("x", large)+"\r\n0\r\n\r\n", 200, false),
	Entry("is answered, with many header fields", post+strings.Repeat("a:\r\n", 3000)+"\r\n", 200, false),
	Entry("is too large", post+"Transfer-Encoding: chunked\r\n\r\n80000\r\n"+strings.Repeat("x", large)+"\r\n90000\r\n", 413, false),
	Entry("has too large a head", post+strings.Repeat("a:\r\n", 5000)+"\r\n", 431, false),
	Entry("is malformed", post+"Transfer-Encoding: chunked\r\n\r\n80000\r\n"+strings.Repeat("x", large)+"yy0\r\n\r\n", 400, false),
	Entry("has two lengths", post+strings.Repeat("a:\r\n", 3000)+"Content-Length: 4\r\nContent-Length: 3\r\n\r\n", 400, false),
	Entry("is answered, with a trailer", post+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"+strings.Repeat("a:\r\n", 100)+"\r\n", 200, false),
	Entry("stops short of its end", largeBody(large-10), 408, false),
	Entry("has a head that stops short of its end", post+strings.Repeat("a:\r\n", 3000), 408, false),
	Entry("breaks off", largeBody(large-10), 0, true),
	Entry("breaks off in its head", post+strings.Repeat("a:\r\n", 3000), 0, true),
)

var _ = Describe("the budget is whole again after a request", func() {
	It("whose caller leaves before the answer, and whose last user is an attempt", func() {
		left := make(chan *membudget.Account, 1)
		s, b := serveWithin(64<<20, 0, func(x *callerhttp.Exchange) {
			<-x.Disconnected
			x.Account.Retain()
			left <- x.Account
		})
		c := dial(s)
		_, err := io.WriteString(c, largeBody(large))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.Active).Should(Equal(1))
		Expect(c.Close()).To(Succeed())
		a := <-left
		Eventually(s.Active, "3s").Should(BeZero())
		Expect(b.Used()).To(BeNumerically(">=", large), "the attempt still has the body")
		a.Release()
		Eventually(b.Used).Should(BeZero())
	})

	It("that is given up for others while it is sent, with a refusal that is true", func() {
		runs := make(chan struct{}, 100)
		s, b := serveWithin(8<<20, 0, func(*callerhttp.Exchange) { runs <- struct{}{} })
		slow := dialFrom(s, "127.0.0.2")
		_, err := io.WriteString(slow, largeBody(large-10))
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.Used).Should(BeNumerically(">", large))
		time.Sleep(510 * time.Millisecond) // its grace time
		var refused fasthttp.Response
		for i := range 3 {
			c := dialFrom(s, "127.0.0."+strconv.Itoa(3+i))
			_, err := io.WriteString(c, largeBody(large-10))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(refused.Read(bufio.NewReader(slow))).To(Succeed())
		Expect(refused.StatusCode()).To(Equal(503))
		Expect(refused.Header.Peek("Retry-After")).NotTo(BeEmpty())
		Expect(refused.ConnectionClose()).To(BeTrue())
		Expect(runs).To(BeEmpty())
		Eventually(b.Used, "4s").Should(BeZero(), "the others have timed out")
	})

	It("whose answer is not read", func() {
		s, b := serveWithin(64<<20, 0, func(x *callerhttp.Exchange) {
			x.Account.Force(32 << 20)
			x.Response.SetBodyRaw(make([]byte, 32<<20))
		})
		c := dial(s)
		_, err := io.WriteString(c, post+"Content-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.Used).Should(BeNumerically(">", 32<<20))
		Eventually(func() bool { // another one needs its bytes
			a, ok := b.Open("other")
			defer a.Release()
			return ok && a.Take(1<<20)
		}, "3s").Should(BeTrue())
		Eventually(b.Used).Should(BeZero())
	})
})

var _ = Describe("a client that holds as many bytes as it can", func() {
	// Guards against one client that takes the whole budget from all others.
	It("leaves others room for small and for large requests", func() {
		s, b := serveWithin(32<<20, 0, func(x *callerhttp.Exchange) {})
		for range 20 {
			c := dialFrom(s, "127.0.0.2")
			go func() { _, _ = io.WriteString(c, largeBody(large-10)) }()
		}
		Eventually(b.Used, "3s").Should(BeNumerically(">", 3<<20))
		for _, text := range []string{largeBody(large), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"} {
			status, _, _ := exchange(dialFrom(s, "127.0.0.3"), text)
			Expect(status).To(Equal(200))
		}
	})

	// Guards against a crowd whose requests are too small to be given up one by one.
	It("doesn't keep others out with small requests without an end", func() {
		s, _ := serveWithin(4<<20, 0, func(x *callerhttp.Exchange) {})
		for range 100 { // of 83 that fit
			_, _ = io.WriteString(dialFrom(s, "127.0.0.2"), post)
		}
		Eventually(func() int {
			c := dialFrom(s, "127.0.0.3")
			if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return 0
			}
			var resp fasthttp.Response
			if resp.Read(bufio.NewReader(c)) != nil {
				return 0
			}
			return resp.StatusCode()
		}, "700ms", "10ms").Should(Equal(200), "before the unfinished ones time out")
	})
})

func dialFrom(s *callerhttp.Server, ip string) net.Conn {
	GinkgoHelper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := d.Dial("tcp", s.Addr())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return c
}

var _ = Describe("the limit on connections", func() {
	// Guards against clients that hold all connections without a request.
	It("is kept by closing the longest waiting one of the client with the most, and none in use", func() {
		entered, release := make(chan struct{}), make(chan struct{})
		s, _ := serveWithin(64<<20, 4, func(x *callerhttp.Exchange) {
			if x.Request.Header.IsPost() {
				close(entered)
				<-release
			}
		})
		busy, other := dialFrom(s, "127.0.0.2"), dialFrom(s, "127.0.0.3")
		_, err := io.WriteString(busy, post+"Content-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		<-entered
		first := dialFrom(s, "127.0.0.2")
		_ = dialFrom(s, "127.0.0.2")
		status, _, _ := exchange(dialFrom(s, "127.0.0.4"), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(status).To(Equal(200))
		_, err = first.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		status, _, _ = exchange(other, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(status).To(Equal(200))
		close(release)
		var resp fasthttp.Response
		Expect(resp.Read(bufio.NewReader(busy))).To(Succeed())
	})
})
