package sockstat_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/sockstat"
)

func TestSockstat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sockstat")
}

// pair returns the ends of a connection over loopback.
func pair() (a, b net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	a, err = net.Dial("tcp", ln.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	b, err = ln.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _, _, _ = a.Close(), b.Close(), ln.Close() })
	return a, b
}

var _ = Describe("the kernel's knowledge of a connection", func() {
	It("has the bytes that the other end doesn't take", func() {
		a, b := pair()
		go func() { _, _ = a.Write(make([]byte, 32<<20)) }()
		Eventually(func() int { n, _ := sockstat.Unacknowledged(a); return n }, "5s").Should(BeNumerically(">", 64<<10))
		go func() { _, _ = io.Copy(io.Discard, b) }()
		Eventually(func() int { n, _ := sockstat.Unacknowledged(a); return n }, "5s").Should(BeZero())
	})

	It("has the time that bytes have waited unread", func() {
		a, b := pair()
		_, err := a.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(80 * time.Millisecond)
		d, ok := sockstat.SinceReceived(b)
		Expect(ok).To(BeTrue())
		Expect(d).To(BeNumerically("~", 80*time.Millisecond, 40*time.Millisecond))
	})

	It("has the time of a round trip", func() {
		a, _ := pair()
		d, ok := sockstat.RoundTrip(a)
		Expect(ok).To(BeTrue())
		Expect(d).To(And(BeNumerically(">", 0), BeNumerically("<", 50*time.Millisecond)))
	})

	It("is unknown for a connection without a socket or a closed one", func() {
		a, b := net.Pipe()
		_, ok := sockstat.Unacknowledged(a)
		Expect(ok).To(BeFalse())
		_, ok = sockstat.SinceReceived(b)
		Expect(ok).To(BeFalse())
		_, ok = sockstat.RoundTrip(b)
		Expect(ok).To(BeFalse())
		c, _ := pair()
		Expect(c.Close()).To(Succeed())
		_, ok = sockstat.Unacknowledged(c)
		Expect(ok).To(BeFalse())
	})
})
