package callerhttp_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/callerhttp"
)

const get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// sendUnread sends requests in a row, as far as they are taken, and reads nothing.
func sendUnread(s *callerhttp.Server, ip string, requests int) net.Conn {
	c := dialFrom(s, ip)
	Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	go func() { _, _ = io.WriteString(c, strings.Repeat(get, requests)) }()
	return c
}

var _ = Describe("a client that sends requests in a row and reads no answer", func() {
	const answer = 1000

	// Guards against answers that pile up in the kernel, up to megabytes for each connection.
	It("gets no more answers than its own buffer and that of the connection hold", func() {
		const clientHolds = 128 << 10 // its window before it made its buffer small
		var answered atomic.Int64
		s, b := serveWithin(64<<20, 0, func(x *callerhttp.Exchange) {
			answered.Add(1)
			x.Response.SetBodyRaw(make([]byte, answer))
		})
		c := sendUnread(s, "127.0.0.2", 10_000)
		Eventually(answered.Load).Should(BeNumerically(">", 2))
		Consistently(func() int64 { time.Sleep(20 * time.Millisecond); return answered.Load() }, "1s").
			Should(BeNumerically("<=", (clientHolds+16<<10)/answer))
		Expect(c.Close()).To(Succeed())
		Eventually(b.Used, "3s").Should(BeZero())
	})

	It("leaves its connection to others, if there is no other one to close", func() {
		s, _ := serveWithin(64<<20, 1, func(x *callerhttp.Exchange) { x.Response.SetBodyRaw(make([]byte, answer)) })
		sendUnread(s, "127.0.0.2", 10_000)
		Eventually(func() error {
			c := dialFrom(s, "127.0.0.3")
			_, err := io.WriteString(c, get)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(c, make([]byte, answer))
			return err
		}, "5s", "100ms").Should(Succeed())
	})

	It("has all of them if it reads them late", func() {
		const requests = 500
		s, _ := serveWithin(64<<20, 0, func(x *callerhttp.Exchange) { x.Response.SetBodyRaw(make([]byte, answer)) })
		c := sendUnread(s, "127.0.0.2", requests)
		time.Sleep(500 * time.Millisecond)
		n, err := io.CopyN(io.Discard, c, requests*answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeEquivalentTo(requests * answer))
	})
})
