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

// maxCallsPerStream limits the calls that a stream may have in flight.
const maxCallsPerStream = 4096

// drainPollInterval is how often Shutdown checks for unanswered calls.
const drainPollInterval = 5 * time.Millisecond

// drainLinger is the minimum time for which a stopping server rejects calls
// before it closes its sessions: several times the network latency between
// regions.
const drainLinger = 300 * time.Millisecond

// Server accepts sessions and passes their calls to a handler.
type Server struct {
	ln      net.Listener
	opts    Options
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex // guards the fields below
	conns    map[net.Conn]struct{}
	streams  map[*serverStream]struct{}
	draining bool
}

// Serve starts accepting sessions on ln in the background.
func Serve(ln net.Listener, o Options, h Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{ln: ln, opts: o.withDefaults(), handler: h, ctx: ctx, cancel: cancel, conns: map[net.Conn]struct{}{}, streams: map[*serverStream]struct{}{}}
	go s.accept()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Shutdown rejects new calls with the outcome NotRun and waits until ctx ends for
// the replies to those in flight. It keeps the sessions open for at least
// lingerTime, unless ctx ends: a call on its way to a closed session would fail
// with the outcome MayHaveRun although it did not run.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
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
	for s.unansweredCalls() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// lingerTime returns drainLinger, limited to a quarter of the time until ctx
// expires.
func lingerTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return drainLinger
	}
	return min(drainLinger, time.Until(deadline)/4)
}

// unansweredCalls returns the number of calls whose replies have not been written
// yet. Calls of closed sessions don't count, since nobody waits for them.
func (s *Server) unansweredCalls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for ss := range s.streams {
		n += ss.unanswered.Load()
	}
	return n
}

// Close closes the listener and all sessions without waiting for calls in flight.
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

func (s *Server) trackConn(conn net.Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

func (s *Server) trackStream(ss *serverStream, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.streams[ss] = struct{}{}
		return
	}
	delete(s.streams, ss)
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.trackConn(conn, true)
	defer s.trackConn(conn, false)
	mux, err := yamux.Server(&coalescingConn{Conn: s.opts.Wrap(conn)}, yamuxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(s.opts.HelloTimeout))
	first, err := mux.AcceptStream()
	if err != nil {
		return
	}
	from, err := s.handshake(first)
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	s.serveStreams(mux, first, from)
}

func (s *Server) serveStreams(mux *yamux.Session, first net.Conn, from Identity) {
	done := make(chan struct{})
	defer close(done)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, func() { _ = mux.Close() })
	defer stop()
	go s.serveStream(ctx, first, from, done, mux)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(ctx, stream, from, done, mux)
	}
}

// handshake reads the Hello, sends the reply and returns the peer's identity.
// It returns ErrRejected if the Hello was rejected.
func (s *Server) handshake(stream net.Conn) (Identity, error) {
	env, err := ReadFrame(stream)
	if err != nil {
		return Identity{}, err
	}
	h := env.GetHello()
	if h == nil {
		return Identity{}, ErrBadFrame
	}
	rejection := s.rejection(h)
	self := s.opts.Self
	reply := &swpb.HelloReply{
		Version: Version, Fleet: self.Fleet, Node: self.Node, Zone: self.Zone,
		Role: self.Role, Incarnation: self.Incarnation, Error: rejection,
	}
	frame, err := AppendFrame(nil, &swpb.Envelope{Body: &swpb.Envelope_HelloReply{HelloReply: reply}})
	if err != nil {
		return Identity{}, err
	}
	if _, err := stream.Write(frame); err != nil {
		return Identity{}, err
	}
	if rejection != "" {
		// Closing before the client has read the reply could discard it, so
		// wait for the client to close. The Hello's read deadline still applies.
		_, _ = io.Copy(io.Discard, stream)
		return Identity{}, ErrRejected
	}
	return Identity{Fleet: h.GetFleet(), Node: h.GetNode(), Zone: h.GetZone(), Role: h.GetRole(), Incarnation: h.GetIncarnation()}, nil
}

// rejection returns the reason for rejecting h, or "" to accept it.
func (s *Server) rejection(h *swpb.Hello) string {
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

// serverStream is the server's end of one stream, with the calls that can still
// be cancelled.
type serverStream struct {
	writer     *frameWriter
	unanswered atomic.Int64

	mu    sync.Mutex // guards calls
	calls map[uint64]context.CancelFunc
}

func (s *Server) serveStream(ctx context.Context, stream net.Conn, from Identity, done chan struct{}, mux *yamux.Session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fail := func(error) { _ = mux.Close() }
	ss := &serverStream{writer: newFrameWriter(done), calls: map[uint64]context.CancelFunc{}}
	s.trackStream(ss, true)
	defer s.trackStream(ss, false)
	go ss.writer.run(stream, fail)
	r := bufio.NewReaderSize(stream, readBufferBytes)
	for {
		env, err := ReadFrame(r)
		if err != nil {
			fail(err)
			return
		}
		s.dispatch(ctx, ss, from, env)
	}
}

func (s *Server) dispatch(ctx context.Context, ss *serverStream, from Identity, env *swpb.Envelope) {
	switch env.GetBody().(type) {
	case *swpb.Envelope_Ping:
		ss.send(outFrame{env: &swpb.Envelope{Body: &swpb.Envelope_Pong{Pong: &swpb.Pong{}}}})
		return
	case *swpb.Envelope_Cancel:
		ss.cancelCall(env.GetCallId())
		return
	}
	written := &afterWrite{}
	callCtx, cancel := context.WithCancel(context.WithValue(ctx, afterWriteKey{}, written))
	if !s.admit(ss, env.GetCallId(), cancel) {
		cancel()
		ss.reply(faultEnvelope(env.GetCallId(), verdict.New(verdict.NotRun, verdict.ShuttingDown, "process takes no new calls")), written)
		return
	}
	go func() {
		defer ss.cancelCall(env.GetCallId())
		reply, err := s.handler.Handle(callCtx, from, env)
		if err != nil {
			reply = faultEnvelope(env.GetCallId(), verdict.Of(err))
		}
		if reply == nil {
			reply = faultEnvelope(env.GetCallId(), verdict.New(verdict.NotRun, verdict.BadRequest, "call of an unknown kind"))
		}
		reply.CallId = env.GetCallId()
		written.watch(ctx)
		ss.reply(reply, written)
	}()
}

// admit counts the call as unanswered and accepts it unless the server is
// draining or the stream has maxCallsPerStream calls in flight.
func (s *Server) admit(ss *serverStream, id uint64, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.unanswered.Add(1)
	if s.draining || len(ss.calls) >= maxCallsPerStream {
		return false
	}
	ss.calls[id] = cancel
	return true
}

func (ss *serverStream) cancelCall(id uint64) {
	ss.mu.Lock()
	cancel := ss.calls[id]
	delete(ss.calls, id)
	ss.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// reply answers a call that admit has counted. A reply that exceeds
// MaxFrameBytes is replaced by a fault.
func (ss *serverStream) reply(env *swpb.Envelope, written *afterWrite) {
	id := env.GetCallId()
	ss.send(outFrame{
		env: env,
		onWritten: func() {
			ss.unanswered.Add(-1)
			written.run()
		},
		onTooLarge: func() *swpb.Envelope {
			return faultEnvelope(id, verdict.Newf(verdict.RanFailed, verdict.TooLarge, "the reply exceeds a frame of %d bytes", MaxFrameBytes))
		},
	})
}

// send queues f for writing, unless the session has ended.
func (ss *serverStream) send(f outFrame) {
	select {
	case ss.writer.queue <- f:
	case <-ss.writer.done:
	}
}

func faultEnvelope(id uint64, v *verdict.Error) *swpb.Envelope {
	return &swpb.Envelope{CallId: id, Body: &swpb.Envelope_Fault{Fault: &swpb.Fault{Verdict: verdict.ToProto(v)}}}
}
