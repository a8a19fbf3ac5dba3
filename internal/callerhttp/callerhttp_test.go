package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/callerhttp"
)

func TestCallerHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerhttp")
}

func serve(h callerhttp.Handler) *callerhttp.Server {
	s := callerhttp.New(h)
	Expect(s.Listen("127.0.0.1:0")).To(Succeed())
	return s
}

func dial(s *callerhttp.Server) net.Conn {
	c, err := net.Dial("tcp", s.Addr())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return c
}

func echo(x *callerhttp.Exchange) { x.Response.SetBody(x.Request.Body()) }

// exchange sends text and reads one response.
func exchange(c net.Conn, text string) (status int, body string, closes bool) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	var resp fasthttp.Response
	Expect(resp.Read(bufio.NewReader(c))).To(Succeed())
	return resp.StatusCode(), string(resp.Body()), resp.ConnectionClose()
}

const post = "POST /x HTTP/1.1\r\nHost: h\r\n"

var _ = DescribeTable("a request", func(text string, status int, body string) {
	s := serve(echo)
	DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
	s.SetLimits(callerhttp.Limits{HeaderBytes: 1024, BodyBytes: 8, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	got, gotBody, _ := exchange(dial(s), text)
	Expect(got).To(Equal(status))
	Expect(gotBody).To(Equal(body))
},
	Entry("with a length", post+"Content-Length: 3\r\n\r\nabc", 200, "abc"),
	Entry("in chunks", post+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, "abc"),
	Entry("without a body", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200, ""),
	Entry("too large", post+"Content-Length: 9\r\n\r\nabcdefghi", 413, ""),
	Entry("malformed", "nonsense\r\n\r\n", 400, ""),
	Entry("with a header that is too large", post+"A: "+strings.Repeat("x", 20_000)+"\r\n\r\n", 431, ""),
)

var _ = Describe("Server", func() {
	It("answers many requests on one connection", func() {
		s := serve(echo)
		DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
		c := dial(s)
		for i := range 5 {
			_, body, closes := exchange(c, fmt.Sprintf(post+"Content-Length: 1\r\n\r\n%d", i))
			Expect(body).To(Equal(fmt.Sprint(i)))
			Expect(closes).To(BeFalse())
		}
	})

	It("notifies the handler when the caller disconnects", func() {
		disconnected := make(chan struct{})
		s := serve(func(x *callerhttp.Exchange) {
			<-x.Disconnected
			close(disconnected)
		})
		DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
		c := dial(s)
		_, err := io.WriteString(c, post+"Content-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.Active).Should(Equal(1))
		Expect(c.Close()).To(Succeed())
		Eventually(disconnected, "5s").Should(BeClosed())
	})

	It("sends Connection: close while it drains, and answers active requests at shutdown", func() {
		entered, release := make(chan struct{}), make(chan struct{})
		s := serve(func(x *callerhttp.Exchange) {
			close(entered)
			<-release
			echo(x)
		})
		c := dial(s)
		idle := dial(s)
		answers := make(chan bool, 1)
		go func() {
			defer GinkgoRecover()
			_, body, closes := exchange(c, post+"Content-Length: 1\r\n\r\na")
			answers <- body == "a" && closes
		}()
		<-entered
		shutDown := make(chan error, 1)
		go func() { shutDown <- s.Shutdown(context.Background()) }()
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Consistently(shutDown, "50ms").ShouldNot(Receive())
		close(release)
		Expect(<-answers).To(BeTrue())
		Expect(<-shutDown).To(Succeed())
	})

	// Guards against a process that ends before it has answered a request that was
	// read but not yet counted as active. Many connections on few processors lengthen
	// the time between reading and counting.
	It("begins no request after its shutdown has returned", func() {
		for range 60 {
			var begun, done atomic.Int64
			s := serve(func(x *callerhttp.Exchange) {
				begun.Add(1)
				echo(x)
				done.Add(1)
			})
			var wg sync.WaitGroup
			for range 40 {
				c := dial(s)
				wg.Go(func() {
					for {
						if _, err := io.WriteString(c, post+"Content-Length: 1\r\n\r\na"); err != nil {
							return
						}
						var resp fasthttp.Response
						if resp.Read(bufio.NewReader(c)) != nil || resp.ConnectionClose() {
							return
						}
					}
				})
			}
			time.Sleep(2 * time.Millisecond)
			Expect(s.Shutdown(context.Background())).To(Succeed())
			begunAtShutdown := begun.Load()
			Expect(done.Load()).To(Equal(begunAtShutdown))
			wg.Wait()
			Expect(begun.Load()).To(Equal(begunAtShutdown))
		}
	})
})
