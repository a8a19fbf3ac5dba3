package matrix

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// exchange is one request to a fake upstream over a pipe. The upstream's side
// decides whether the request runs there, what comes back, and when the asker
// gives up.
type exchange struct {
	nc     net.Conn
	req    fasthttp.Request
	ran    bool
	giveUp context.CancelCauseFunc
}

// The headers that every correct answer to request r carries, those of another
// request, and the mark of a request that did not run.
const (
	echoed = "Sw-Request-Id: r\r\nSw-Attempt: 2\r\n"
	other  = "Sw-Request-Id: other\r\nSw-Attempt: 2\r\n"
	notRun = "Sw-Not-Run: yes\r\n"
)

// read takes the whole request.
func (e *exchange) read() { _ = e.req.Read(bufio.NewReader(e.nc)) }

// run reads and runs the request.
func (e *exchange) run() {
	e.read()
	e.ran = true
}

func (e *exchange) write(s string) { _, _ = e.nc.Write([]byte(s)) }

// answer is an answer whose body names the request that it is for.
func answerText(status int, headers, forID string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(forID), forID)
}

// part is a correct answer to request r, but for the headers put in front,
// which win.
func partText(headers, forID string) string {
	return answerText(200, headers+"Sw-Snapshot: 7\r\nSw-Range: 0-65536\r\n", forID)
}

// upstreamCell makes the call with the real client and records what came of it.
func upstreamCell(step, fault string, upstreamSide func(e *exchange)) cell {
	upstreamSides = append(upstreamSides, upstreamSide)
	return cell{step, fault, func(uint64) *history { return converse(upstreamSide, call) }}
}

// upstreamSides are the faults of all cells of one call.
var upstreamSides []func(e *exchange)

// converse makes one call, and a second one if the connection can be used.
func converse(upstreamSide func(e *exchange), call callFunc) *history {
	near, far := net.Pipe()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	e := &exchange{nc: far, giveUp: cancel}
	over := make(chan struct{})
	go func() {
		defer close(over)
		defer func() { _ = far.Close() }()
		upstreamSide(e)
	}()
	c := upstreamclient.New(near, "u")
	c.SetMaxAnswerBytes(64)
	h := newHistory()
	call(ctx, h, c, near, "r")
	if c.Usable() {
		call(ctx, h, c, near, "next") // what is left must not reach another
	}
	c.Close()
	<-over
	if e.ran {
		h.runs = append(h.runs, run{key: "r", request: "r"})
	}
	return h
}

// callFunc makes one call on a connection and records what came of it.
type callFunc func(ctx context.Context, h *history, c *upstreamclient.Conn, nc net.Conn, id string)

// naiveCall trusts whatever comes, and takes every failure for not run.
func naiveCall(ctx context.Context, h *history, _ *upstreamclient.Conn, nc net.Conn, id string) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetHost("u")
	req.Header.Set("Sw-Request-Id", id)
	bw := bufio.NewWriter(nc)
	_ = req.Write(bw)
	_ = bw.Flush()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	if err := resp.Read(bufio.NewReader(nc)); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		h.refusals = append(h.refusals, refusal{id, verdict.NotRun})
		return
	}
	snapshot, _ := strconv.ParseUint(string(resp.Header.Peek("Sw-Snapshot")), 10, 64)
	h.answers = append(h.answers, answer{request: id, forID: string(resp.Body()), snapshots: []uint64{7, snapshot}})
}

var _ = Describe("a client that trusts whatever comes", func() {
	It("breaks the promises under the same faults", func() {
		broken := map[string]int{}
		for _, side := range upstreamSides {
			for _, v := range check(converse(side, naiveCall)) {
				broken[v.promise]++
			}
		}
		Expect(broken).To(And(HaveKey(wholeAnswer), HaveKey(trueRefusal), HaveKey(oneSnapshot)))
	})
})

func newHistory() *history {
	return &history{asked: map[string]time.Duration{}, finished: map[string]time.Duration{}}
}

func call(ctx context.Context, h *history, c *upstreamclient.Conn, _ net.Conn, id string) {
	h.asked[id] = time.Second
	a, _, err := c.Do(ctx, &upstreamclient.Attempt{RequestID: id, Number: 2, Snapshot: 7, Budget: time.Second})
	h.finished[id] = 0
	if err != nil {
		h.refusals = append(h.refusals, refusal{id, verdict.Of(err).Outcome})
		return
	}
	h.answers = append(h.answers, answer{
		request: id, forID: string(a.Payload), snapshots: []uint64{7, a.Snapshot},
		claimed: 1, actual: float64(a.Range.Hi-a.Range.Lo) / (1 << 16),
	})
}

// replies is a cell in which the upstream reads the request, runs it or not,
// and sends a text.
func replies(fault string, ran bool, text string) cell {
	return upstreamCell("wait", fault, func(e *exchange) {
		e.read()
		e.ran = ran
		e.write(text)
	})
}

// cut is a text without its last n bytes.
func cut(text string, n int) string { return text[:len(text)-n] }

var _ = cells("owner and upstream: one call",
	upstreamCell("send", "upstream killed", func(e *exchange) { _ = e.nc.Close() }),
	upstreamCell("send", "upstream killed while it reads", func(e *exchange) { _, _ = e.nc.Read(make([]byte, 10)) }),
	upstreamCell("send", "asker gives up before the send", func(e *exchange) { e.giveUp(nil) }),
	upstreamCell("wait", "upstream killed", func(e *exchange) { e.run() }),
	upstreamCell("wait", "upstream frozen", func(e *exchange) {
		e.run()
		e.giveUp(context.DeadlineExceeded)
	}),
	upstreamCell("wait", "asker gives up", func(e *exchange) {
		e.run()
		e.giveUp(nil)
	}),
	replies("none", true, partText(echoed, "r")),
	replies("upstream shedding", false, answerText(503, echoed+notRun, "")),
	replies("upstream shedding without the mark", true, answerText(503, echoed, "")),
	replies("upstream draining", true, partText(echoed+"Sw-State: draining\r\nConnection: close\r\n", "r")),
	replies("upstream fails", true, answerText(500, echoed, "no")),
	replies("snapshot gone", false, answerText(410, echoed, "")),
	replies("cancelled while it runs", true, answerText(499, echoed, "")),
	replies("answer cut in the headers", true, partText(echoed, "r")[:40]),
	replies("answer cut in the body", true, cut(partText(echoed, "a long answer of r"), 5)),
	replies("answer truncated to nothing", true, cut(partText(echoed, "r"), 1)),
	replies("answer crossed", true, partText(other, "other")),
	replies("answer late, of an earlier attempt", true, partText("Sw-Request-Id: r\r\nSw-Attempt: 1\r\n", "an earlier attempt")),
	replies("answer duplicated", true, partText(echoed, "r")+partText(echoed, "r")),
	replies("answer oversized", true, partText(echoed, strings.Repeat("r", 65))),
	replies("answer without length", true, "HTTP/1.1 200 X\r\n"+echoed+"Sw-Snapshot: 7\r\nSw-Range: 0-65536\r\n\r\nr"),
	replies("answer from another snapshot", true, answerText(200, echoed+"Sw-Snapshot: 8\r\nSw-Range: 0-65536\r\n", "r")),
	replies("answer without range", true, answerText(200, echoed+"Sw-Snapshot: 7\r\n", "r")),
	replies("another request's not-run mark (crossed and shedding)", true, answerText(503, other+notRun, "")),
	replies("not-run mark cut (shedding and cut)", true, cut(answerText(503, echoed+notRun, "busy"), 2)),
	replies("snapshot gone for another request (crossed and snapshot change)", true, answerText(410, other, "")),
)
