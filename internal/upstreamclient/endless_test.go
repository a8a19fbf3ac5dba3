package upstreamclient_test

import (
	"bufio"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// faultyUpstream answers each request with a text, and then sends filler until the client
// closes the connection, or nothing more.
func faultyUpstream(text, filler string) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				var req fasthttp.Request
				br := bufio.NewReader(nc)
				if req.Read(br) != nil {
					return
				}
				_, err := nc.Write([]byte(text))
				for filler != "" && err == nil {
					_, err = nc.Write([]byte(filler))
				}
				_, _ = br.ReadByte() // until the client closes
			}()
		}
	}()
	return ln.Addr().String()
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // pools are emptied by the second one
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a client whose memory faulty upstreams use up, with answers that state a
// large length, or that don't end (issue 60).
var _ = DescribeTable("answers of 200 connections that are not complete", func(text, filler string) {
	const connections, bound = 200, 100 << 20
	addr := faultyUpstream(text, filler)
	ctx := testContext()
	before := heapInUse()
	var wg sync.WaitGroup
	var conns []*upstreamclient.Conn
	for range connections {
		c, err := upstreamclient.Dial(ctx, addr, upstreamclient.DialTCP)
		Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
		wg.Go(func() {
			defer GinkgoRecover()
			_, _, err := c.Do(ctx, testAttempt())
			Expect(verdict.Of(err)).To(HaveField("Outcome", verdict.MayHaveRun))
		})
	}
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		Expect(heapInUse() - before).To(BeNumerically("<", bound))
	}
	good := scriptedUpstream(respond(200, echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\n", "part"))
	_, _, err := good.Do(ctx, testAttempt())
	Expect(err).NotTo(HaveOccurred(), "small answers are read meanwhile")
	for _, c := range conns {
		c.Close()
	}
	wg.Wait()
	Expect(heapInUse() - before).To(BeNumerically("<", 16<<20))
},
	Entry("with a large length and one byte", "HTTP/1.1 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nContent-Length: 4000000\r\n\r\nx", ""),
	Entry("with a large length and most of the body", "HTTP/1.1 200 X\r\n"+echo+"Sw-Snapshot: 7\r\nSw-Range: 0-9\r\nContent-Length: 4000000\r\n\r\n"+strings.Repeat("x", 3_900_000), ""),
	Entry("with a head without end", "HTTP/1.1 200 X\r\n"+echo, "X-A: a\r\n"),
	Entry("with noise without end", "what?", strings.Repeat("x", 1<<10)),
)
