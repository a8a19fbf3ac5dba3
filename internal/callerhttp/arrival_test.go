package callerhttp_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/callerhttp"
)

var _ = Describe("the time of arrival", func() {
	// Guards against a caller's time that begins to count only when its request is read.
	It("is when the last byte came in, however long it was unread", func() {
		arrived, release := make(chan time.Time, 3), make(chan struct{})
		s := serve(func(x *callerhttp.Exchange) {
			arrived <- x.Arrived
			<-release
		})
		DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
		c := dial(s)
		var sent time.Time
		for range 3 { // the third is not read while the first two aren't answered
			sent = time.Now()
			_, err := io.WriteString(c, post+"Content-Length: 1\r\n\r\na")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		close(release)
		<-arrived
		<-arrived
		Expect(<-arrived).To(BeTemporally("~", sent, 30*time.Millisecond))
	})

	It("comes with the time on the network, which the kernel knows", func() {
		travel := make(chan time.Duration, 2)
		s := serve(func(x *callerhttp.Exchange) { travel <- x.Travel })
		DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
		c := dial(s)
		for range 2 {
			exchange(c, post+"Content-Length: 1\r\n\r\na")
			Expect(<-travel).To(And(BeNumerically(">", 0), BeNumerically("<", 100*time.Millisecond)))
		}
	})

	It("is uncertain by the time that the process stood still, until the kernel has told it", func() {
		uncertain := make(chan time.Duration, 2)
		s := callerhttp.New(func(x *callerhttp.Exchange) {
			uncertain <- x.Uncertain
			time.Sleep(50 * time.Millisecond)
		})
		s.SetStalled(func(time.Time) time.Duration { return 300 * time.Millisecond })
		Expect(s.Listen("127.0.0.1:0")).To(Succeed())
		DeferCleanup(func() { _ = s.Shutdown(context.Background()) })
		c := dial(s)
		exchange(c, post+"Content-Length: 1\r\n\r\na")
		Expect(<-uncertain).To(BeNumerically("~", 300*time.Millisecond, 50*time.Millisecond))
		exchange(c, post+"Content-Length: 1\r\n\r\na")
		Expect(<-uncertain).To(BeZero())
	})
})
