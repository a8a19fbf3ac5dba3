package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// layout is a LayoutSource with a single snapshot, 7, of two shards.
type layout struct{}

func (layout) LayoutOf(s uint64) (standin.Layout, bool) {
	return standin.Layout{"p": standin.EvenBounds(2)}, s == 7
}

var testTables = &tables.Tables{Routes: map[string]*tables.Route{
	"wide":  {Name: "wide", Pools: []string{"p"}, Merge: tables.MergeConcat},
	"total": {Name: "total", Pools: []string{"p"}, Merge: tables.MergeSum},
	"act":   {Name: "act", Pools: []string{"p"}, Merge: tables.MergeFirst, Kind: tables.Action},
}}

var testRoutes = []Route{{Name: "wide"}, {Name: "total"}, {Name: "act", Action: true}}

const half = tables.KeySpace / 2

func part(request string, snapshot uint64, lo, hi uint32) standin.Part {
	return standin.NewPart(request, "p", snapshot, lo, hi, []byte("x"))
}

// completeAnswer returns a complete and correct answer on the route "wide".
func completeAnswer() Result {
	b, _ := json.Marshal(map[string]any{
		"request_id": "r1", "snapshot": 7, "coverage": map[string]any{"covered": 2, "total": 2},
		"parts": []standin.Part{part("r1", 7, 0, half), part("r1", 7, half, tables.KeySpace)},
	})
	return Result{Request: Request{Payload: []byte("x")}, Status: 200, RequestID: "r1", Snapshot: "7", Coverage: "2/2", Body: b}
}

func refusal(outcome string) Result {
	return Result{Request: Request{Payload: []byte("x")}, Status: 503, RequestID: "r1", Body: []byte(`{"verdict":"` + outcome + `","cause":"shed","request_id":"r1"}`)}
}

func withReplacement(r Result, from, to string) Result {
	Expect(string(r.Body)).To(ContainSubstring(from))
	r.Body = bytes.Replace(r.Body, []byte(from), []byte(to), 1)
	return r
}

func checkOne(r Result, records ...standin.Record) CheckedResult {
	c := &Checker{Tables: testTables, Source: layout{}, Records: records}
	return c.Check(testRoutes, []Result{r})[0]
}

var _ = Describe("the checker", func() {
	It("accepts correct answers and refusals", func() {
		Expect(checkOne(completeAnswer())).To(And(HaveField("Kind", Complete), HaveField("Violations", BeEmpty())))
		Expect(checkOne(refusal("not-run"))).To(And(HaveField("Kind", Refused), HaveField("Violations", BeEmpty())))
		partial := completeAnswer()
		partial.Coverage, partial.Missing = "1/2", "p:0-32768"
		partial.Body, _ = json.Marshal(map[string]any{
			"request_id": "r1", "snapshot": 7, "coverage": map[string]any{"covered": 1, "total": 2},
			"parts": []standin.Part{part("r1", 7, half, tables.KeySpace)},
		})
		Expect(checkOne(partial)).To(And(HaveField("Kind", Partial), HaveField("Coverage", 0.5), HaveField("Violations", BeEmpty())))
	})

	DescribeTable("detects each broken promise", func(promise string, broken func() (Result, []standin.Record)) {
		r, records := broken()
		Expect(checkOne(r, records...).Violations).To(ContainElement(HaveField("Promise", promise)))
	},
		Entry("a part of another request's answer", CompleteAnswer, func() (Result, []standin.Record) {
			return withReplacement(completeAnswer(), `"request":"r1"`, `"request":"r2"`), nil
		}),
		Entry("the body of another request's answer", CompleteAnswer, func() (Result, []standin.Record) {
			return withReplacement(completeAnswer(), `"request_id":"r1"`, `"request_id":"r2"`), nil
		}),
		Entry("a truncated body", CompleteAnswer, func() (Result, []standin.Record) {
			r := completeAnswer()
			r.Body = r.Body[:len(r.Body)/2]
			return r, nil
		}),
		Entry("a changed value", CompleteAnswer, func() (Result, []standin.Record) {
			return withReplacement(completeAnswer(), `"sum":`, `"sum":1`), nil
		}),
		Entry("a mix of snapshots", OneSnapshot, func() (Result, []standin.Record) {
			r := completeAnswer()
			r.Body = bytes.Replace(r.Body, []byte(`"snapshot":7,"lo":0`), []byte(`"snapshot":8,"lo":0`), 1)
			return r, nil
		}),
		Entry("a snapshot that was never published", OneSnapshot, func() (Result, []standin.Record) {
			r := completeAnswer()
			r.Snapshot = "9"
			return r, nil
		}),
		Entry("a shard both answered and named as missing", TrueCoverage, func() (Result, []standin.Record) {
			r := completeAnswer()
			r.Missing = "p:0-32768"
			return r, nil
		}),
		Entry("more coverage claimed than the parts give", TrueCoverage, func() (Result, []standin.Record) {
			r := completeAnswer()
			r.Body, _ = json.Marshal(map[string]any{
				"request_id": "r1", "snapshot": 7, "coverage": map[string]any{"covered": 2, "total": 2},
				"parts": []standin.Part{part("r1", 7, 0, half)},
			})
			return r, nil
		}),
		Entry("a sum over fewer shards than claimed", TrueCoverage, func() (Result, []standin.Record) {
			r := completeAnswer()
			r.Request.Route = 1
			r.Body = fmt.Appendf(nil, `{"request_id":"r1","snapshot":7,"coverage":{"covered":2,"total":2},"sum":%d}`, standin.Sum("p", 7, 0, half, []byte("x")))
			return r, nil
		}),
		Entry("a not-run verdict for an executed request", TrueVerdict, func() (Result, []standin.Record) {
			return refusal("not-run"), []standin.Record{{Request: "r1", Ran: true, Idempotent: true}}
		}),
		Entry("an action executed twice", AtMostOnce, func() (Result, []standin.Record) {
			r := refusal("may-have-run")
			r.Request.Route, r.Request.Key = 2, "k"
			execution := standin.Record{Request: "r1", Ran: true, PayloadHash: standin.PayloadHash([]byte("x"))}
			return r, []standin.Record{execution, execution}
		}),
		Entry("a hung request", NoHang, func() (Result, []standin.Record) {
			return Result{Err: fasthttp.ErrTimeout}, nil
		}),
		Entry("a refusal without a verdict", CompleteAnswer, func() (Result, []standin.Record) {
			return Result{Status: 502, Body: []byte("bad gateway")}, nil
		}),
	)
})

var _ = Describe("a plan", func() {
	routes := []Route{{Name: "q", PerSecond: 500}, {Name: "a", PerSecond: 100, Action: true, Repeat: 0.5}}

	It("is the same for equal seeds and differs for different seeds", func() {
		Expect(NewPlan(1, routes, time.Second)).To(Equal(NewPlan(1, routes, time.Second)))
		Expect(NewPlan(2, routes, time.Second)).NotTo(Equal(NewPlan(1, routes, time.Second)))
	})

	It("follows the rates and repeats keys with equal payloads", func() {
		keys := map[string][]byte{}
		repeats, queries := 0, 0
		for _, s := range NewPlan(1, routes, 20*time.Second) {
			if s.Key == "" {
				queries++
				continue
			}
			if first, ok := keys[s.Key]; ok {
				Expect(s.Payload).To(Equal(first))
				repeats++
			}
			keys[s.Key] = s.Payload
		}
		Expect(queries).To(BeNumerically("~", 10_000, 400))
		Expect(len(keys)).To(BeNumerically("~", 2_000, 200))
		Expect(repeats).To(BeNumerically("~", 1_000, 150))
	})
})

// runAgainst sends one request to a server that answers each with a text.
func runAgainst(text string) CheckedResult {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := nc.Read(make([]byte, 4096)); err == nil {
				_, _ = nc.Write([]byte(text))
			}
			_ = nc.Close()
		}
	}()
	r := &Runner{Routes: testRoutes, Deadline: 10 * time.Second}
	r.SetTargets([]string{ln.Addr().String()})
	return checkOne(r.Run(GinkgoT().Context(), []Request{{Payload: []byte("x")}})[0])
}

// The load client must not take for an answer what a strict client refuses.
var _ = Describe("bytes that are no answer", func() {
	body := string(completeAnswer().Body)
	reply := func(head string) string {
		return fmt.Sprintf("%s\r\nSw-Request-Id: r1\r\nSw-Snapshot: 7\r\nSw-Coverage: 2/2\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}

	DescribeTable("break the promise of an answer", func(text string) {
		r := runAgainst(text)
		Expect(r.Status).To(BeZero())
		Expect(r.Kind).To(Equal(NoAnswer))
		Expect(r.Violations).To(ConsistOf(HaveField("Promise", CompleteAnswer)))
	},
		Entry("status 000", reply("HTTP/1.1 000 X")),
		Entry("status 600", reply("HTTP/1.1 600 X")),
		Entry("a blank in the name of a field", reply("HTTP/1.1 200 OK\r\nX Foo: 1")),
		Entry("a blank at the end of a name", reply("HTTP/1.1 200 OK\r\nX-Foo : 1")),
		Entry("a folded line", reply("HTTP/1.1 200 OK\r\n folded")),
		Entry("a length and chunks", reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked")),
		Entry("chunks of HTTP/1.0", fmt.Sprintf("HTTP/1.0 200 OK\r\nSw-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)),
		Entry("two request IDs", reply("HTTP/1.1 200 OK\r\nSw-Request-Id: r2")),
		Entry("another protocol", "what?\r\n\r\n"),
		Entry("an empty line", "\r\n\r\n"),
	)

	It("don't include a sound answer, or a connection that is closed without one", func() {
		r := runAgainst(reply("HTTP/1.1 200 OK\r\nX-Foo: 1"))
		Expect(r.Violations).To(BeEmpty())
		Expect(r.Kind).To(Equal(Complete))
		r = runAgainst("")
		Expect(r.Violations).To(BeEmpty())
		Expect(r.Kind).To(Equal(NoAnswer))
	})
})

var _ = Describe("a run", func() {
	It("measures latency from the due time, even if the client sends late", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") }}
		go func() { _ = server.Serve(ln) }()
		DeferCleanup(server.Shutdown)
		r := &Runner{Routes: testRoutes, Deadline: 10 * time.Second}
		r.SetTargets([]string{ln.Addr().String()})
		late := 300 * time.Millisecond
		results := r.Run(GinkgoT().Context(), []Request{{At: -late, Payload: []byte("x")}})
		Expect(results).To(HaveLen(1))
		Expect(results[0].Status).To(Equal(200))
		Expect(results[0].Latency()).To(BeNumerically(">=", late))
		Expect(NewSummary(testRoutes, []CheckedResult{{Result: results[0]}}, nil).All.P50MS).To(BeNumerically(">=", 299))
	})
})
