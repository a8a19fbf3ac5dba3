package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

var _ = Describe("a request that waits unread", func() {
	// Guards against a caller's time that begins to count only when its request is read.
	It("is passed on with what is left of the caller's time", func() {
		const unread = 300 * time.Millisecond
		b := newBench(nil)
		var requests atomic.Int64
		budgets := make(chan time.Duration, 100)
		b.egress.respondWith(func(ctx context.Context, r *swpb.SubRequest) (*swpb.SubReply, error) {
			if requests.Add(1) == 1 {
				time.Sleep(unread)
			}
			budgets <- time.Duration(r.GetBudgetUs()) * time.Microsecond
			return goodReply(ctx, r)
		})
		c, err := net.Dial("tcp", b.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		for range 2 {
			_, err := fmt.Fprintf(c, "POST %sall HTTP/1.1\r\nHost: h\r\n%s: 900\r\nContent-Length: 1\r\n\r\na", pathPrefix, headerDeadline)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(unread / 10)
		}
		Expect(c.SetReadDeadline(time.Now().Add(2 * unread))).To(Succeed())
		_, _ = io.Copy(io.Discard, c)
		first, last := <-budgets, time.Duration(0)
		for len(budgets) > 0 {
			last = <-budgets
		}
		Expect(last).To(BeNumerically("~", first-unread*9/10, 60*time.Millisecond))
	})
})
