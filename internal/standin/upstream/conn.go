package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

// accept takes connections one at a time; each costs ConnectCost of one slot.
func (r *Replica) accept(l *life) {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		st, ok := r.admit(l, c)
		if !ok {
			reset(c)
			continue
		}
		r.payForConnection(l)
		go r.serve(l, c, st)
	}
}

// admit counts the connection in unless the limit is reached or the life over.
func (r *Replica) admit(l *life, c net.Conn) (*connState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.ended:
		return nil, false
	default:
	}
	if r.cfg.Connections > 0 && len(l.conns) >= r.cfg.Connections {
		return nil, false
	}
	st := &connState{silent: make(chan struct{})}
	l.conns[c] = st
	return st, true
}

func (r *Replica) payForConnection(l *life) {
	if r.cfg.ConnectCost <= 0 || l.slots.acquire(time.Time{}, l.ended, false) != granted {
		return
	}
	defer l.slots.release()
	pause(r.cfg.ConnectCost, l.ended)
}

// serve answers the requests of one connection in turn.
func (r *Replica) serve(l *life, c net.Conn, st *connState) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var req fasthttp.Request
	for {
		if err := req.Read(in); err != nil {
			return
		}
		if !r.awaitVoice(l, st) {
			return
		}
		resp := &fasthttp.Response{}
		spoil := r.handle(l, &req, resp)
		if !r.awaitVoice(l, st) {
			return
		}
		if !r.send(l, c, resp, spoil) || req.ConnectionClose() {
			return
		}
	}
}

// thawPoll is how often a frozen replica looks whether it may go on.
const thawPoll = 5 * time.Millisecond

// awaitVoice waits while the replica is frozen, and for the end of its life on
// a silent connection. It says whether to go on.
func (r *Replica) awaitVoice(l *life, st *connState) bool {
	for {
		select {
		case <-st.silent:
			<-l.ended
			return false
		case <-l.ended:
			return false
		default:
		}
		r.mu.Lock()
		frozen := r.faults.Frozen
		r.mu.Unlock()
		if !frozen {
			return true
		}
		pause(thawPoll, l.ended)
	}
}

func (r *Replica) handle(l *life, req *fasthttp.Request, resp *fasthttp.Response) AnswerFault {
	switch string(req.URI().Path()) {
	case wire.PathRun:
		return r.run(l, req, resp)
	case wire.PathCancel:
		l.cancel(runKey{header(req, wire.HeaderRequestID), header(req, wire.HeaderAttempt)})
	case wire.PathStatus:
		r.status(l, resp)
	default:
		resp.SetStatusCode(fasthttp.StatusNotFound)
	}
	return AnswerIntact
}

func header(req *fasthttp.Request, name string) string { return string(req.Header.Peek(name)) }

// cancel ends the run of a key, if there is one.
func (l *life) cancel(k runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stop, ok := l.runs[k]; ok {
		close(stop)
		delete(l.runs, k)
	}
}

func (r *Replica) status(l *life, resp *fasthttp.Response) {
	r.mu.Lock()
	load := r.load(l)
	s := wire.Status{
		StartID: l.startID, Version: r.cfg.Version, State: r.state(),
		Slots: load.Slots, InFlight: load.InFlight, Queue: load.Queue,
		Snapshots: append([]wire.Held(nil), r.held...),
	}
	r.mu.Unlock()
	body, _ := json.Marshal(s) // plain fields always encode
	resp.Header.SetContentType("application/json")
	resp.SetBody(body)
}

// load is the load that the replica reports. r.mu is held.
func (r *Replica) load(l *life) wire.Load {
	if r.faults.ReportedLoad != nil {
		return *r.faults.ReportedLoad
	}
	active, waiting := l.slots.load()
	return wire.Load{Slots: r.cfg.Slots, InFlight: active, Queue: waiting}
}

// send writes the answer, spoiled if asked, and says whether the connection
// can be used on.
func (r *Replica) send(l *life, c net.Conn, resp *fasthttp.Response, spoil AnswerFault) bool {
	whole := encode(resp)
	r.mu.Lock()
	earlier, late := r.last, r.faults.AnswerDelay
	if resp.StatusCode() == fasthttp.StatusOK && spoil == AnswerIntact {
		r.last = whole
	}
	r.mu.Unlock()
	switch spoil {
	case AnswerCut:
		_, _ = c.Write(whole[:len(whole)-len(resp.Body())/2])
		pause(cutPause, l.ended)
		reset(c)
		return false
	case AnswerTruncated:
		resp.SetBody(resp.Body()[:len(resp.Body())/2])
		whole = encode(resp)
	case AnswerCrossed:
		if earlier != nil {
			whole = earlier
		}
	case AnswerDuplicated:
		whole = append(whole[:len(whole):len(whole)], whole...)
	case AnswerLate:
		pause(late, l.ended)
	}
	_, err := c.Write(whole)
	return err == nil
}

// cutPause lets the first half of a cut answer leave before the reset.
const cutPause = 2 * time.Millisecond

func encode(resp *fasthttp.Response) []byte {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	_ = resp.Write(w) // a buffer takes every write
	_ = w.Flush()
	return b.Bytes()
}

// pause sleeps for d and says whether it slept to the end.
func pause(d time.Duration, stop <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}
