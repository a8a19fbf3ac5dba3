package connpool_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
)

// startBodyReplica starts a replica that reads a line and, if a request has a body, size bytes, and then answers. A
// request named "early" is answered before its body, which is never read; one named "later"
// before its body is read.
func startBodyReplica(size int) (addr string, conns chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	conns = make(chan net.Conn, 10)
	serve := func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			line, err := br.ReadString('\n')
			if err != nil {
				return
			}
			id := strings.TrimSpace(line)
			if id == "early" || id == "later" {
				_, _ = io.WriteString(c, id+" ok\n")
			}
			if id == "early" {
				return // the body is never read, and the connection stays open
			}
			if id == "later" {
				time.Sleep(200 * time.Millisecond)
			}
			if id == "large" || id == "later" {
				if _, err := io.CopyN(io.Discard, br, int64(size)); err != nil {
					return
				}
			}
			if id != "later" {
				_, _ = io.WriteString(c, id+" ok\n")
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
			go serve(c)
		}
	}()
	return ln.Addr().String(), conns
}

// sendOf sends an attempt with a body and a time limit.
func sendOf(p *connpool.Pool, id string, body []byte, limit time.Duration) chan *connpool.Attempt {
	done := make(chan *connpool.Attempt, 2)
	p.Send(&connpool.Attempt{
		Request: &connpool.Request{ID: id, Body: body}, Deadline: time.Now().Add(limit),
		SentAt: time.Now(), Done: func(a *connpool.Attempt) { done <- a },
	})
	return done
}

var _ = Describe("a kept connection that has carried a large request", func() {
	const size = 1 << 20
	body := make([]byte, size)

	// Guards against the time limit of one request that ends a later one, which the replica
	// would be charged with.
	It("carries a small one after the time limit of the large one", func() {
		for _, codec := range []connpool.Codec{bodyCodec{}, lineCodec{}} {
			addr, _ := startBodyReplica(size)
			p := connpool.NewPool("r", addr, 1, codec, connpool.DialTCP, func(string) {})
			DeferCleanup(p.Close)
			first := "large"
			large := body
			if codec == (lineCodec{}) { // which sends the name alone
				first, large = strings.Repeat("x", 64<<10), nil
			}
			Expect(ended(sendOf(p, first, large, 300*time.Millisecond)).Err).To(BeNil())
			time.Sleep(400 * time.Millisecond)
			Expect(ended(sendOf(p, "small", nil, 5*time.Second)).Err).To(BeNil())
		}
	})

	// Guards against requests that wait behind bytes that the replica doesn't read, and
	// against the caller of Send that waits with them.
	DescribeTable("isn't used for another one while the replica has not read the large one", func(limit int) {
		addr, conns := startBodyReplica(0)
		p := connpool.NewPool("r", addr, limit, bodyCodec{}, connpool.DialTCP, func(string) {})
		DeferCleanup(p.Close)
		early := sendOf(p, "early", make([]byte, 16*size), 20*time.Second)
		Expect(ended(early).Reply.Receipt).To(Equal("ok"))
		sent := make(chan chan *connpool.Attempt, 1)
		go func() { sent <- sendOf(p, "small", nil, 5*time.Second) }()
		var small chan *connpool.Attempt
		Eventually(sent, "3s").Should(Receive(&small), "Send returns")
		Expect(ended(small).Err).To(BeNil())
		Expect(conns).To(HaveLen(2))
	},
		Entry("with room for another connection", 2),
		Entry("with room for one connection", 1),
	)

	// Guards against bytes of another request where the rest of a body is due.
	It("is used again once the replica has read a body that it had answered", func() {
		addr, conns := startBodyReplica(16 * size)
		p := connpool.NewPool("r", addr, 2, bodyCodec{}, connpool.DialTCP, func(string) {})
		DeferCleanup(p.Close)
		later := sendOf(p, "later", make([]byte, 16*size), 20*time.Second)
		Expect(ended(later).Reply.Receipt).To(Equal("ok"))
		time.Sleep(time.Second) // the replica has read on
		for _, id := range []string{"a", "b"} {
			Expect(ended(sendOf(p, id, nil, 5*time.Second)).Reply.RequestID).To(Equal(id))
		}
		Expect(conns).To(HaveLen(1))
	})
})
