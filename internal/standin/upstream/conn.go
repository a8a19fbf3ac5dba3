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

// accept accepts connections one at a time; each occupies a slot for ConnectCost.
func (r *Replica) accept(p *process) {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		st, ok := r.admit(p, c)
		if !ok {
			reset(c)
			continue
		}
		r.chargeConnect(p)
		go r.serve(p, c, st)
	}
}

// admit registers the connection unless the connection limit is reached or the
// process has ended.
func (r *Replica) admit(p *process, c net.Conn) (*connState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return nil, false
	default:
	}
	if r.cfg.Connections > 0 && len(p.conns) >= r.cfg.Connections {
		return nil, false
	}
	st := &connState{stalled: make(chan struct{})}
	p.conns[c] = st
	return st, true
}

func (r *Replica) chargeConnect(p *process) {
	if r.cfg.ConnectCost <= 0 || p.slots.acquire(time.Time{}, p.ended, false) != granted {
		return
	}
	defer p.slots.release()
	pause(r.cfg.ConnectCost, p.ended)
}

// serve answers the requests of one connection one after the other.
func (r *Replica) serve(p *process, c net.Conn, st *connState) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var req fasthttp.Request
	for {
		if err := req.Read(in); err != nil {
			return
		}
		if !r.waitUntilResponsive(p, st) {
			return
		}
		resp := &fasthttp.Response{}
		fault := r.handle(p, &req, resp)
		if !r.waitUntilResponsive(p, st) {
			return
		}
		if !r.send(p, c, resp, fault) || req.ConnectionClose() {
			return
		}
	}
}

// frozenPollInterval is how often a frozen replica checks whether it is still
// frozen.
const frozenPollInterval = 5 * time.Millisecond

// waitUntilResponsive waits while the replica is frozen. On a stalled connection
// it waits until the process ends. It reports whether the connection can continue.
func (r *Replica) waitUntilResponsive(p *process, st *connState) bool {
	for {
		select {
		case <-st.stalled:
			<-p.ended
			return false
		case <-p.ended:
			return false
		default:
		}
		r.mu.Lock()
		frozen := r.faults.Frozen
		r.mu.Unlock()
		if !frozen {
			return true
		}
		pause(frozenPollInterval, p.ended)
	}
}

func (r *Replica) handle(p *process, req *fasthttp.Request, resp *fasthttp.Response) AnswerFault {
	switch string(req.URI().Path()) {
	case wire.PathRun:
		return r.run(p, req, resp)
	case wire.PathCancel:
		p.cancel(runKey{header(req, wire.HeaderRequestID), header(req, wire.HeaderAttempt)})
	case wire.PathStatus:
		r.status(p, resp)
	default:
		resp.SetStatusCode(fasthttp.StatusNotFound)
	}
	return AnswerIntact
}

func header(req *fasthttp.Request, name string) string { return string(req.Header.Peek(name)) }

// cancel stops the execution with this key, if there is one.
func (p *process) cancel(k runKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stop, ok := p.runs[k]; ok {
		close(stop)
		delete(p.runs, k)
	}
}

func (r *Replica) status(p *process, resp *fasthttp.Response) {
	r.mu.Lock()
	load := r.load(p)
	s := wire.Status{
		StartID: p.startID, Version: r.cfg.Version, State: r.state(),
		Slots: load.Slots, InFlight: load.InFlight, Queue: load.Queue,
		Snapshots: append([]wire.HeldSnapshot(nil), r.held...),
	}
	r.mu.Unlock()
	body, _ := json.Marshal(s) // encoding strings and integers cannot fail
	resp.Header.SetContentType("application/json")
	resp.SetBody(body)
}

// load returns the load that the replica reports. The caller must hold r.mu.
func (r *Replica) load(p *process) wire.Load {
	if r.faults.ReportedLoad != nil {
		return *r.faults.ReportedLoad
	}
	active, waiting := p.slots.load()
	return wire.Load{Slots: r.cfg.Slots, InFlight: active, Queue: waiting}
}

// send writes the answer with the given fault. It reports whether the connection
// is still usable.
func (r *Replica) send(p *process, c net.Conn, resp *fasthttp.Response, fault AnswerFault) bool {
	encoded := encode(resp)
	r.mu.Lock()
	earlier, late := r.last, r.faults.AnswerDelay
	if resp.StatusCode() == fasthttp.StatusOK && fault == AnswerIntact {
		r.last = encoded
	}
	r.mu.Unlock()
	switch fault {
	case AnswerCut:
		_, _ = c.Write(encoded[:len(encoded)-len(resp.Body())/2])
		pause(resetDelay, p.ended)
		reset(c)
		return false
	case AnswerTruncated:
		resp.SetBody(resp.Body()[:len(resp.Body())/2])
		encoded = encode(resp)
	case AnswerCrossed:
		if earlier != nil {
			encoded = earlier
		}
	case AnswerDuplicated:
		encoded = append(encoded[:len(encoded):len(encoded)], encoded...)
	case AnswerLate:
		pause(late, p.ended)
	}
	_, err := c.Write(encoded)
	return err == nil
}

// resetDelay gives the first half of a cut answer time to be sent before the
// reset.
const resetDelay = 2 * time.Millisecond

func encode(resp *fasthttp.Response) []byte {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	_ = resp.Write(w) // a buffer takes every write
	_ = w.Flush()
	return b.Bytes()
}

// pause sleeps for d or until stop is closed. It reports whether it slept for the
// whole time.
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
