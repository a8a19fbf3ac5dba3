package netdelay

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNetdelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "network delay")
}

var _ = Describe("a delayed connection", func() {
	It("delivers the bytes of both directions no earlier than the delay", func() {
		const delay = 20 * time.Millisecond
		a, b := net.Pipe()
		c := Wrap(a, delay)
		go func() { _, _ = io.Copy(b, b) }()
		begin := time.Now()
		_, err := c.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		got := make([]byte, 5)
		_, err = io.ReadFull(c, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("hello"))
		Expect(time.Since(begin)).To(BeNumerically(">=", 2*delay))
	})

	It("ends reads at the deadline and at the end of the stream, and fails writes after Close", func() {
		a, b := net.Pipe()
		c := Wrap(a, time.Millisecond)
		Expect(c.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(b.Close()).To(Succeed())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Expect(c.Close()).To(Succeed())
		_, err = c.Write([]byte("x"))
		Expect(err).To(HaveOccurred())
	})
})
