package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// maxCallsPerLane bounds the calls that one lane may have in hand.
const maxCallsPerLane = 4096

// drainPollInterval is how often Shutdown looks whether calls are left.
const drainPollInterval = 5 * time.Millisecond

// drainLinger is how long a stopping server refuses calls before it closes its
// sessions: several times the way between regions.
const drainLinger = 300 * time.Millisecond

// Server accepts sessions and hands their calls to a handler.
type Server struct {
	ln      net.Listener
	opts    Options
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex // guards the fields below
	conns map[net.Conn]struct{}
	lanes map[*serverLane]struct{}
	drain bool
}

// Serve starts to accept sessions on ln and returns at once.
func Serve(ln net.Listener, o Options, h Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{ln: ln, opts: o.withDefaults(), handler: h, ctx: ctx, cancel: cancel, conns: map[net.Conn]struct{}{}, lanes: map[*serverLane]struct{}{}}
	go s.accept()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Shutdown refuses new calls as not run and waits for those in hand until ctx
// ends. Then it closes the sessions, but not before drainLinger: calls on their
// way to a closed session could not be told that they did not run.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.drain = true
	s.mu.Unlock()
	defer s.Close()
	linger := time.NewTimer(lingerTime(ctx))
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.inHand() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// lingerTime is drainLinger, or a quarter of the time that ctx leaves.
func lingerTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return drainLinger
	}
	return min(drainLinger, time.Until(deadline)/4)
}

// inHand is the number of calls whose replies are not on their way yet. Calls
// of ended sessions don't count, since nobody waits for them.
func (s *Server) inHand() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for l := range s.lanes {
		n += l.unanswered.Load()
	}
	return n
}

// Close closes the listener and all sessions at once.
func (s *Server) Close() {
	s.cancel()
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil {
				return
			}
			time.Sleep(DefaultRedialDelay)
			continue
		}
		go s.serveConn(conn)
	}
}

func (s *Server) track(conn net.Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

func (s *Server) trackLane(l *serverLane, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.lanes[l] = struct{}{}
		return
	}
	delete(s.lanes, l)
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.track(conn, true)
	defer s.track(conn, false)
	mux, err := yamux.Server(&joinConn{Conn: conn}, yamuxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(s.opts.HelloTimeout))
	first, err := mux.AcceptStream()
	if err != nil {
		return
	}
	from, err := s.welcome(first)
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	s.serveLanes(mux, first, from)
}

func (s *Server) serveLanes(mux *yamux.Session, first net.Conn, from Identity) {
	done := make(chan struct{})
	defer close(done)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, func() { _ = mux.Close() })
	defer stop()
	go s.serveLane(ctx, first, from, done, mux)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serveLane(ctx, stream, from, done, mux)
	}
}

// welcome reads the Hello and accepts or refuses it.
func (s *Server) welcome(stream net.Conn) (Identity, error) {
	env, err := ReadFrame(stream)
	if err != nil {
		return Identity{}, err
	}
	h := env.GetHello()
	if h == nil {
		return Identity{}, ErrBadFrame
	}
	refusal := s.refusal(h)
	self := s.opts.Self
	reply := &swpb.HelloReply{
		Version: Version, Fleet: self.Fleet, Node: self.Node, Zone: self.Zone,
		Role: self.Role, Incarnation: self.Incarnation, Error: refusal,
	}
	frame, err := AppendFrame(nil, &swpb.Envelope{Body: &swpb.Envelope_HelloReply{HelloReply: reply}})
	if err != nil {
		return Identity{}, err
	}
	if _, err := stream.Write(frame); err != nil {
		return Identity{}, err
	}
	if refusal != "" {
		// The dialler closes once it has read why; closing first could lose
		// the reply. The read deadline of the Hello still holds.
		_, _ = io.Copy(io.Discard, stream)
		return Identity{}, ErrRejected
	}
	return Identity{Fleet: h.GetFleet(), Node: h.GetNode(), Zone: h.GetZone(), Role: h.GetRole(), Incarnation: h.GetIncarnation()}, nil
}

// refusal says why a Hello is not accepted, or "".
func (s *Server) refusal(h *swpb.Hello) string {
	if h.GetMinVersion() > Version {
		return fmt.Sprintf("protocol version %d or newer is needed, this process speaks %d; upgrade it", h.GetMinVersion(), Version)
	}
	if h.GetVersion() < MinVersion {
		return fmt.Sprintf("protocol version %d is too old, this process needs %d", h.GetVersion(), MinVersion)
	}
	if h.GetFleet() != s.opts.Self.Fleet {
		return fmt.Sprintf("this process is of fleet %q, not %q", s.opts.Self.Fleet, h.GetFleet())
	}
	return ""
}

// serverLane holds the calls of one stream that can still be cancelled.
type serverLane struct {
	writer     *frameWriter
	unanswered atomic.Int64

	mu    sync.Mutex // guards calls
	calls map[uint64]context.CancelFunc
}

func (s *Server) serveLane(ctx context.Context, stream net.Conn, from Identity, done chan struct{}, mux *yamux.Session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fail := func(error) { _ = mux.Close() }
	l := &serverLane{writer: newFrameWriter(done), calls: map[uint64]context.CancelFunc{}}
	s.trackLane(l, true)
	defer s.trackLane(l, false)
	go l.writer.run(stream, fail)
	r := bufio.NewReaderSize(stream, readBufferBytes)
	for {
		env, err := ReadFrame(r)
		if err != nil {
			fail(err)
			return
		}
		s.dispatch(ctx, l, from, env)
	}
}

func (s *Server) dispatch(ctx context.Context, l *serverLane, from Identity, env *swpb.Envelope) {
	switch env.GetBody().(type) {
	case *swpb.Envelope_Ping:
		l.send(outFrame{env: &swpb.Envelope{Body: &swpb.Envelope_Pong{Pong: &swpb.Pong{}}}})
		return
	case *swpb.Envelope_Cancel:
		l.cancelCall(env.GetCallId())
		return
	}
	callCtx, cancel := context.WithCancel(ctx)
	if !s.admit(l, env.GetCallId(), cancel) {
		cancel()
		l.reply(faultEnvelope(env.GetCallId(), verdict.New(verdict.NotRun, verdict.ShuttingDown, "process takes no new calls")))
		return
	}
	go func() {
		defer l.cancelCall(env.GetCallId())
		reply, err := s.handler.Handle(callCtx, from, env)
		if err != nil {
			reply = faultEnvelope(env.GetCallId(), verdict.Of(err))
		}
		if reply == nil {
			reply = faultEnvelope(env.GetCallId(), verdict.New(verdict.NotRun, verdict.BadRequest, "call of an unknown kind"))
		}
		reply.CallId = env.GetCallId()
		l.reply(reply)
	}()
}

// admit counts the call as unanswered, and takes it unless the server drains
// or the lane is full.
func (s *Server) admit(l *serverLane, id uint64, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered.Add(1)
	if s.drain || len(l.calls) >= maxCallsPerLane {
		return false
	}
	l.calls[id] = cancel
	return true
}

func (l *serverLane) cancelCall(id uint64) {
	l.mu.Lock()
	cancel := l.calls[id]
	delete(l.calls, id)
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// reply answers a call that admit has counted. A reply that is too large for a
// frame becomes a fault.
func (l *serverLane) reply(env *swpb.Envelope) {
	id := env.GetCallId()
	l.send(outFrame{
		env:     env,
		written: func() { l.unanswered.Add(-1) },
		tooLarge: func() *swpb.Envelope {
			return faultEnvelope(id, verdict.Newf(verdict.RanFailed, verdict.TooLarge, "the reply exceeds a frame of %d bytes", MaxFrameBytes))
		},
	})
}

// send queues f unless the session has ended.
func (l *serverLane) send(f outFrame) {
	select {
	case l.writer.queue <- f:
	case <-l.writer.done:
	}
}

func faultEnvelope(id uint64, v *verdict.Error) *swpb.Envelope {
	return &swpb.Envelope{CallId: id, Body: &swpb.Envelope_Fault{Fault: &swpb.Fault{Verdict: verdict.ToProto(v)}}}
}
