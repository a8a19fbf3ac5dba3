package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Errors that end a session or prevent it from opening.
var (
	ErrStalled       = errors.New("peer: session went silent")
	ErrSessionClosed = errors.New("peer: session closed")
	ErrRejected      = errors.New("peer: session refused")
)

// session is the client's end of a connection.
type session struct {
	mux     *yamux.Session
	peer    Identity
	streams []*clientStream

	lastCallID atomic.Uint64 // also spreads calls over the streams
	inFlight   atomic.Int64
	lastRead   atomic.Int64 // in nanoseconds since begin
	begin      time.Time
	done       chan struct{}
	closeOnce  sync.Once
	err        error // why the session ended; set before done is closed
}

// clientStream is one yamux stream with the calls that wait for replies on it.
type clientStream struct {
	writer  *frameWriter
	mu      sync.Mutex // guards pending
	pending map[uint64]chan *swpb.Envelope
}

// dialSession opens a connection, performs the handshake and starts the streams.
func dialSession(ctx context.Context, addr string, o Options) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	conn, err := o.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	s, err := openSession(conn, o)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

func openSession(conn net.Conn, o Options) (*session, error) {
	s := &session{begin: time.Now(), done: make(chan struct{})}
	tracked := &readNotifyConn{Conn: o.Wrap(conn), onRead: s.markRead}
	mux, err := yamux.Client(&coalescingConn{Conn: tracked}, yamuxConfig())
	if err != nil {
		return nil, err
	}
	s.mux = mux
	first, err := mux.OpenStream()
	if err != nil {
		return nil, err
	}
	s.peer, err = handshake(first, o.Self)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, s.startStreams(first, o)
}

// handshake sends the Hello on the first stream and returns the peer's identity
// from the reply.
func handshake(stream net.Conn, self Identity) (Identity, error) {
	hello := &swpb.Hello{
		Version: Version, MinVersion: MinVersion,
		Fleet: self.Fleet, Node: self.Node, Zone: self.Zone, Role: self.Role,
		Incarnation: self.Incarnation,
	}
	frame, err := AppendFrame(nil, &swpb.Envelope{Body: &swpb.Envelope_Hello{Hello: hello}})
	if err != nil {
		return Identity{}, err
	}
	if _, err := stream.Write(frame); err != nil {
		return Identity{}, err
	}
	env, err := ReadFrame(stream)
	if err != nil {
		return Identity{}, err
	}
	r := env.GetHelloReply()
	if r == nil {
		return Identity{}, ErrBadFrame
	}
	if r.GetError() != "" {
		return Identity{}, errors.Join(ErrRejected, errors.New(r.GetError()))
	}
	return Identity{Fleet: r.GetFleet(), Node: r.GetNode(), Zone: r.GetZone(), Role: r.GetRole(), Incarnation: r.GetIncarnation()}, nil
}

func (s *session) startStreams(first net.Conn, o Options) error {
	conns := []net.Conn{first}
	for len(conns) < o.Streams {
		st, err := s.mux.OpenStream()
		if err != nil {
			_ = s.mux.Close()
			return err
		}
		conns = append(conns, st)
	}
	for _, st := range conns {
		cs := &clientStream{writer: newFrameWriter(s.done), pending: map[uint64]chan *swpb.Envelope{}}
		s.streams = append(s.streams, cs)
		go cs.writer.run(st, s.fail)
		go s.readStream(cs, st)
	}
	go s.watchStall(o.StallTimeout)
	return nil
}

func (s *session) markRead() {
	s.lastRead.Store(int64(time.Since(s.begin)))
}

func (s *session) fail(err error) {
	s.closeOnce.Do(func() {
		s.err = err
		close(s.done)
		_ = s.mux.Close()
	})
}

func (s *session) alive() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// readStream reads frames and delivers them until the session ends. Replies to
// abandoned calls are dropped.
func (s *session) readStream(cs *clientStream, stream net.Conn) {
	r := bufio.NewReaderSize(stream, readBufferBytes)
	for {
		env, err := ReadFrame(r)
		if err != nil {
			s.fail(err)
			return
		}
		cs.deliver(env)
	}
}

// watchStall pings a session that has calls in flight but has received no byte for
// a quarter of timeout, and closes it when timeout has passed without one.
func (s *session) watchStall(timeout time.Duration) {
	tick := time.NewTicker(timeout / 4)
	defer tick.Stop()
	var busySince time.Time
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			if s.inFlight.Load() == 0 {
				busySince = time.Time{}
				continue
			}
			if busySince.IsZero() {
				busySince = now
			}
			idle := min(time.Since(s.begin)-time.Duration(s.lastRead.Load()), now.Sub(busySince))
			if idle > timeout {
				s.fail(ErrStalled)
				return
			}
			if idle > timeout/4 {
				s.ping()
			}
		}
	}
}

// ping sends a Ping on the first stream, unless its queue is full.
func (s *session) ping() {
	env := &swpb.Envelope{Body: &swpb.Envelope_Ping{Ping: &swpb.Ping{}}}
	select {
	case s.streams[0].writer.queue <- outFrame{env: env}:
	default:
	}
}

// call sends req and waits for its reply. If the session fails or ctx ends, the
// outcome is NotRun only while req has not been queued for writing.
func (s *session) call(ctx context.Context, req *swpb.Envelope) (*swpb.Envelope, error) {
	id := s.lastCallID.Add(1)
	req.CallId = id
	cs := s.streams[id%uint64(len(s.streams))]
	ch := make(chan *swpb.Envelope, 1)
	cs.mu.Lock()
	cs.pending[id] = ch
	cs.mu.Unlock()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	select {
	case cs.writer.queue <- outFrame{env: req, onTooLarge: func() *swpb.Envelope { return cs.rejectTooLarge(id) }}:
	case <-s.done:
		cs.remove(id)
		return nil, verdict.Newf(verdict.NotRun, verdict.PeerLost, "session to %s: %v", s.peer.Node, s.err)
	case <-ctx.Done():
		cs.remove(id)
		return nil, verdict.Newf(verdict.NotRun, verdict.Deadline, "session to %s is congested", s.peer.Node)
	}
	return s.wait(ctx, cs, id, ch)
}

func (s *session) wait(ctx context.Context, cs *clientStream, id uint64, ch chan *swpb.Envelope) (*swpb.Envelope, error) {
	select {
	case env := <-ch:
		if f := env.GetFault(); f != nil {
			return nil, verdict.FromProto(f.GetVerdict())
		}
		return env, nil
	case <-s.done:
		cs.remove(id)
		return nil, verdict.Newf(verdict.MayHaveRun, verdict.PeerLost, "session to %s: %v", s.peer.Node, s.err)
	case <-ctx.Done():
		cs.remove(id)
		cs.cancel(id)
		cause := verdict.Cancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cause = verdict.Deadline
		}
		return nil, verdict.Newf(verdict.MayHaveRun, cause, "no reply from %s in time", s.peer.Node)
	}
}

// rejectTooLarge fails a call whose request exceeds MaxFrameBytes.
func (cs *clientStream) rejectTooLarge(id uint64) *swpb.Envelope {
	cs.deliver(faultEnvelope(id, verdict.Newf(verdict.NotRun, verdict.TooLarge, "the request exceeds a frame of %d bytes", MaxFrameBytes)))
	return nil
}

// deliver passes a reply to the call with its ID, if that call still waits.
func (cs *clientStream) deliver(env *swpb.Envelope) {
	cs.mu.Lock()
	ch := cs.pending[env.GetCallId()]
	delete(cs.pending, env.GetCallId())
	cs.mu.Unlock()
	if ch != nil {
		ch <- env
	}
}

func (cs *clientStream) remove(id uint64) {
	cs.mu.Lock()
	delete(cs.pending, id)
	cs.mu.Unlock()
}

// cancel notifies the peer that the call was abandoned, unless the queue is full.
func (cs *clientStream) cancel(id uint64) {
	env := &swpb.Envelope{CallId: id, Body: &swpb.Envelope_Cancel{Cancel: &swpb.Cancel{}}}
	select {
	case cs.writer.queue <- outFrame{env: env}:
	default:
	}
}

// readNotifyConn calls onRead after every read that returned bytes.
type readNotifyConn struct {
	net.Conn
	onRead func()
}

// Read implements net.Conn.
func (c *readNotifyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead()
	}
	return n, err
}
