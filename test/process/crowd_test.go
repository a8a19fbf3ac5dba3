package process

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/load"
	"github.com/sapphirewall/sapphirewall/test/crowd"
)

// The bounds of sw-entry, and the sizes of the crowds.
const (
	crowdMemory      = 96 // MB
	crowdDescriptors = 500
	crowdSize        = 300 // connections
	crowdIdle        = 900 // connections without a request
	crowdBody        = 1 << 20
	crowdHead        = 15_000
	crowdPart        = 600 << 10 // of a body, whose rest doesn't come
	crowdPipelined   = 20_000    // requests written in a row
	crowdDeadline    = 5 * time.Second
)

// crowdSettings are the lines of the section [entry] for crowds.
var crowdSettings = fmt.Sprintf("memory = %d\ndescriptors = %d\n", crowdMemory, crowdDescriptors)

const crowdLine = " /v1/query/counter HTTP/1.1\r\nHost: h.example\r\nSw-Deadline-Ms: 5000\r\n"

// Guards against a process that runs out of memory or descriptors because of clients that
// send requests of legal size, in number or in form unlike ordinary ones.
var _ = Describe("an sw-entry process with a crowd of clients", Serial, func() {
	var s *system

	BeforeEach(func() {
		s = newSystemWith(crowdDeadline, crowdSettings)
		s.awaitComplete(s.entries...)
	})

	// expectAnswered asks once.
	expectAnswered := func(when string) {
		GinkgoHelper()
		for _, r := range s.runPlan([]load.Request{s.newRequest(0)}, s.entries[:1]) {
			Expect(r.Kind).To(Equal(load.Complete), "%s: %d %s %v", when, r.Status, r.Body, r.Err)
		}
	}

	DescribeTable("stays within its memory and descriptors, and answers ordinary requests, if they send", func(connections, piece int, text string) {
		c, stop := &crowd.Crowd{}, crowd.Watch(s.running["sw-entry vm-1"].Process.Pid)
		defer c.Leave()
		c.Send(s.entries[0], connections, piece, text)
		time.Sleep(time.Second) // connections that the kernel holds are accepted
		expectAnswered("beside the crowd")
		c.Leave()
		time.Sleep(time.Second) // the process knows
		expectAnswered("after the crowd")
		s.expectWithin(stop())
	},
		Entry("whole heads of short lines", crowdSize, 1<<20, crowd.Head("GET"+crowdLine, "a:\r\n", crowdHead)+"\r\n"),
		Entry("unfinished heads of one long line", crowdSize, 1<<10, crowd.Head("GET"+crowdLine, "x", crowdHead)),
		Entry("bodies with a length that stop short of their end", crowdSize, 1<<20, crowd.Body("POST"+crowdLine, false, crowdBody, 10)),
		Entry("bodies of one chunk that stop short of their end", crowdSize, 1<<20, crowd.Body("POST"+crowdLine, true, crowdBody, 10)),
		Entry("whole bodies", crowdSize, 1<<20, crowd.Body("POST"+crowdLine, false, crowdBody, 0)),
		Entry("bodies of which a part arrives", crowdIdle, 1<<20, crowd.Body("POST"+crowdLine, false, crowdBody, crowdBody-crowdPart)),
		Entry("small requests in a row whose answers they don't read", crowdSize, 1<<20, strings.Repeat(crowd.Body("POST"+crowdLine, false, 10, 0), crowdPipelined)),
		Entry("nothing", crowdIdle, 1, ""),
	)

	DescribeTable("stays within its memory and descriptors, and answers there too, if they come to the address of the counters, with", func(connections int, text string) {
		c, stop := &crowd.Crowd{}, crowd.Watch(s.running["sw-entry vm-1"].Process.Pid)
		defer c.Leave()
		c.Send(s.entryAdmins[0], connections, 1<<20, text)
		resp, err := (&http.Client{Timeout: 10 * time.Second}).Get("http://" + s.entryAdmins[0] + "/live")
		expectAnswered("beside the crowd")
		s.expectWithin(stop())
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	},
		Entry("bodies that stop short of their end", crowdSize, crowd.Body("POST /live HTTP/1.1\r\nHost: h.example\r\n", false, crowdBody, 10)),
		Entry("nothing", crowdIdle, ""),
	)

	// Guards against limits that a single legal request doesn't fit in.
	It("answers one request of the largest size in calm", func() {
		body := fmt.Sprintf(`{"n":%q}`, strings.Repeat("x", crowdBody-8))
		Expect(body).To(HaveLen(crowdBody))
		resp, err := http.Post("http://"+s.entries[0]+"/v1/query/counter", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
})

// expectWithin checks what sw-entry has taken.
func (s *system) expectWithin(usage crowd.Usage) {
	GinkgoHelper()
	GinkgoWriter.Println(usage)
	Expect(usage.Memory).To(BeNumerically("<=", crowdMemory<<20), usage.String())
	Expect(usage.Descriptors).To(BeNumerically("<=", crowdDescriptors), usage.String())
}
