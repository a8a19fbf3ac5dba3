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

// exchange is one request to a fake upstream over a pipe, as the upstream sees
// it: it decides whether the request is executed, what is sent back, and when
// the sender of the request cancels it.
type exchange struct {
	nc       net.Conn
	req      fasthttp.Request
	executed bool
	cancel   context.CancelCauseFunc
}

// The headers of every correct answer to request r, those of an answer to another
// request, and the header of a request that was not executed.
const (
	echoHeaders  = "Sw-Request-Id: r\r\nSw-Attempt: 2\r\n"
	otherHeaders = "Sw-Request-Id: other\r\nSw-Attempt: 2\r\n"
	notRunHeader = "Sw-Not-Run: yes\r\n"
)

// read reads the whole request.
func (e *exchange) read() { _ = e.req.Read(bufio.NewReader(e.nc)) }

// readAndExecute reads and executes the request.
func (e *exchange) readAndExecute() {
	e.read()
	e.executed = true
}

func (e *exchange) write(s string) { _, _ = e.nc.Write([]byte(s)) }

// answerText is an HTTP response whose body is the ID of the request that it
// answers.
func answerText(status int, headers, forID string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(forID), forID)
}

// partText is an otherwise correct answer with headers in front, which take
// precedence.
func partText(headers, forID string) string {
	return answerText(200, headers+"Sw-Snapshot: 7\r\nSw-Range: 0-65536\r\n", forID)
}

// upstreamCell makes a call with the real client and records the result.
func upstreamCell(step, fault string, upstreamSide func(e *exchange)) cell {
	upstreamSides = append(upstreamSides, upstreamSide)
	return cell{step, fault, func(uint64) *history { return runCalls(upstreamSide, call) }}
}

// upstreamSides are the upstream sides of all cells made by upstreamCell.
var upstreamSides []func(e *exchange)

// runCalls makes one call, and a second one if the connection is still usable.
func runCalls(upstreamSide func(e *exchange), call callFunc) *history {
	near, far := net.Pipe()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	e := &exchange{nc: far, cancel: cancel}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		defer func() { _ = far.Close() }()
		upstreamSide(e)
	}()
	c := upstreamclient.New(near, "u")
	c.SetMaxAnswerBytes(64)
	h := newHistory()
	call(ctx, h, c, near, "r")
	if c.Usable() {
		call(ctx, h, c, near, "next") // leftover bytes must not reach another request
	}
	c.Close()
	<-exited
	if e.executed {
		h.executions = append(h.executions, execution{key: "r", request: "r"})
	}
	return h
}

// callFunc makes one call on a connection and records the result.
type callFunc func(ctx context.Context, h *history, c *upstreamclient.Conn, nc net.Conn, id string)

// naiveCall accepts any answer unchecked and reports every failure as not run.
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

var _ = Describe("a client that does not check answers", func() {
	It("breaks the promises under the same faults", func() {
		broken := map[string]int{}
		for _, side := range upstreamSides {
			for _, v := range check(runCalls(side, naiveCall)) {
				broken[v.promise]++
			}
		}
		Expect(broken).To(And(HaveKey(wholeAnswer), HaveKey(trueRefusal), HaveKey(oneSnapshot)))
	})
})

func newHistory() *history {
	return &history{deadlines: map[string]time.Duration{}, finishedAt: map[string]time.Duration{}}
}

func call(ctx context.Context, h *history, c *upstreamclient.Conn, _ net.Conn, id string) {
	h.deadlines[id] = time.Second
	a, _, err := c.Do(ctx, &upstreamclient.Attempt{RequestID: id, Number: 2, Snapshot: 7, Budget: time.Second})
	h.finishedAt[id] = 0
	if err != nil {
		h.refusals = append(h.refusals, refusal{id, verdict.Of(err).Outcome})
		return
	}
	h.answers = append(h.answers, answer{
		request: id, forID: string(a.Payload), snapshots: []uint64{7, a.Snapshot},
		reported: 1, actual: float64(a.Range.Hi-a.Range.Lo) / (1 << 16),
	})
}

// replyCell is a cell in which the upstream reads the request, executes it or
// not, and sends text.
func replyCell(fault string, executed bool, text string) cell {
	return upstreamCell("wait", fault, func(e *exchange) {
		e.read()
		e.executed = executed
		e.write(text)
	})
}

// truncate returns text without its last n bytes.
func truncate(text string, n int) string { return text[:len(text)-n] }

var _ = registerCells("owner and upstream: one call",
	upstreamCell("send", "upstream killed", func(e *exchange) { _ = e.nc.Close() }),
	upstreamCell("send", "upstream killed while it reads", func(e *exchange) { _, _ = e.nc.Read(make([]byte, 10)) }),
	upstreamCell("send", "asker gives up before the send", func(e *exchange) { e.cancel(nil) }),
	upstreamCell("wait", "upstream killed", func(e *exchange) { e.readAndExecute() }),
	upstreamCell("wait", "upstream frozen", func(e *exchange) {
		e.readAndExecute()
		e.cancel(context.DeadlineExceeded)
	}),
	upstreamCell("wait", "asker gives up", func(e *exchange) {
		e.readAndExecute()
		e.cancel(nil)
	}),
	replyCell("none", true, partText(echoHeaders, "r")),
	replyCell("upstream shedding", false, answerText(503, echoHeaders+notRunHeader, "")),
	replyCell("upstream shedding without the mark", true, answerText(503, echoHeaders, "")),
	replyCell("upstream draining", true, partText(echoHeaders+"Sw-State: draining\r\nConnection: close\r\n", "r")),
	replyCell("upstream fails", true, answerText(500, echoHeaders, "no")),
	replyCell("snapshot gone", false, answerText(410, echoHeaders, "")),
	replyCell("cancelled while it runs", true, answerText(499, echoHeaders, "")),
	replyCell("answer cut in the headers", true, partText(echoHeaders, "r")[:40]),
	replyCell("answer cut in the body", true, truncate(partText(echoHeaders, "a long answer of r"), 5)),
	replyCell("answer truncated to nothing", true, truncate(partText(echoHeaders, "r"), 1)),
	replyCell("answer crossed", true, partText(otherHeaders, "other")),
	replyCell("answer late, of an earlier attempt", true, partText("Sw-Request-Id: r\r\nSw-Attempt: 1\r\n", "an earlier attempt")),
	replyCell("answer duplicated", true, partText(echoHeaders, "r")+partText(echoHeaders, "r")),
	replyCell("answer oversized", true, partText(echoHeaders, strings.Repeat("r", 65))),
	replyCell("answer without length", true, "HTTP/1.1 200 X\r\n"+echoHeaders+"Sw-Snapshot: 7\r\nSw-Range: 0-65536\r\n\r\nr"),
	replyCell("answer from another snapshot", true, answerText(200, echoHeaders+"Sw-Snapshot: 8\r\nSw-Range: 0-65536\r\n", "r")),
	replyCell("answer without range", true, answerText(200, echoHeaders+"Sw-Snapshot: 7\r\n", "r")),
	replyCell("another request's not-run mark (crossed and shedding)", true, answerText(503, otherHeaders+notRunHeader, "")),
	replyCell("not-run mark cut (shedding and cut)", true, truncate(answerText(503, echoHeaders+notRunHeader, "busy"), 2)),
	replyCell("snapshot gone for another request (crossed and snapshot change)", true, answerText(410, otherHeaders, "")),
)
