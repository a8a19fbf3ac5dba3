package uplink_test

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/uplink"
)

func TestUplink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "uplink")
}

var _ = DescribeTable("what may be on its way on a link", func(mbps float64, window int) {
	Expect(uplink.New(mbps).Window()).To(Equal(window))
},
	Entry("of a rate that isn't known", 0.0, 64<<10),
	Entry("of 200 Mbit/s", 200.0, 64<<10),
	Entry("of 20 Mbit/s", 20.0, 62_500),
	Entry("of 4 Mbit/s", 4.0, 12_500),
	Entry("of 0.5 Mbit/s", 0.5, 12<<10),
)

var _ = Describe("a link", func() {
	It("has queued what the other ends have not taken of large writes", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		a, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		b, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _, _, _ = a.Close(), b.Close(), ln.Close() })
		link := uplink.New(0)
		w := link.Wrap(a)
		_, err = w.Write(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		Expect(link.Queued()).To(BeZero())
		go func() { _, _ = w.Write(make([]byte, 32<<20)) }()
		Eventually(link.Queued, "5s").Should(BeNumerically(">", 64<<10))
		go func() { _, _ = io.Copy(io.Discard, b) }()
		Eventually(link.Queued, "5s").Should(BeZero())
	})
})
