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

// The errors that end a session.
var (
	ErrStalled       = errors.New("peer: session went silent")
	ErrSessionClosed = errors.New("peer: session closed")
	ErrRejected      = errors.New("peer: session refused")
)

// session is the dialler's end of a connection.
type session struct {
	mux   *yamux.Session
	peer  Identity
	lanes []*clientLane

	next        atomic.Uint64 // call ids; also spreads calls over lanes
	outstanding atomic.Int64
	lastHeard   atomic.Int64 // nanoseconds of time.Since(begin)
	begin       time.Time
	done        chan struct{}
	closeOnce   sync.Once
	err         error // set before done is closed
}

// clientLane is one yamux stream with the calls waiting on it.
type clientLane struct {
	writer  *frameWriter
	mu      sync.Mutex // guards pending
	pending map[uint64]chan *swpb.Envelope
}

// dialSession opens a connection, greets the peer and starts the lanes.
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
	counted := &heardConn{Conn: conn, heard: s.markHeard}
	mux, err := yamux.Client(&joinConn{Conn: counted}, yamuxConfig())
	if err != nil {
		return nil, err
	}
	s.mux = mux
	first, err := mux.OpenStream()
	if err != nil {
		return nil, err
	}
	s.peer, err = greet(first, o.Self)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, s.startLanes(first, o)
}

// greet sends the Hello and reads the reply on the first lane.
func greet(stream net.Conn, self Identity) (Identity, error) {
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

func (s *session) startLanes(first net.Conn, o Options) error {
	streams := []net.Conn{first}
	for len(streams) < o.Streams {
		st, err := s.mux.OpenStream()
		if err != nil {
			_ = s.mux.Close()
			return err
		}
		streams = append(streams, st)
	}
	for _, st := range streams {
		l := &clientLane{writer: newFrameWriter(s.done), pending: map[uint64]chan *swpb.Envelope{}}
		s.lanes = append(s.lanes, l)
		go l.writer.run(st, s.fail)
		go s.readLane(l, st)
	}
	go s.watchSilence(o.StallTimeout)
	return nil
}

func (s *session) markHeard() {
	s.lastHeard.Store(int64(time.Since(s.begin)))
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

// readLane hands each reply to the call of its number. A reply that nobody
// waits for, because its call was given up, is dropped.
func (s *session) readLane(l *clientLane, stream net.Conn) {
	r := bufio.NewReaderSize(stream, readBufferBytes)
	for {
		env, err := ReadFrame(r)
		if err != nil {
			s.fail(err)
			return
		}
		l.deliver(env)
	}
}

// watchSilence pings a session that owes answers and closes it when nothing
// comes back.
func (s *session) watchSilence(after time.Duration) {
	tick := time.NewTicker(after / 4)
	defer tick.Stop()
	var busySince time.Time
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			if s.outstanding.Load() == 0 {
				busySince = time.Time{}
				continue
			}
			if busySince.IsZero() {
				busySince = now
			}
			quiet := min(time.Since(s.begin)-time.Duration(s.lastHeard.Load()), now.Sub(busySince))
			if quiet > after {
				s.fail(ErrStalled)
				return
			}
			if quiet > after/4 {
				s.ping()
			}
		}
	}
}

// ping asks for a sign of life on the first lane, if its queue has room.
func (s *session) ping() {
	env := &swpb.Envelope{Body: &swpb.Envelope_Ping{Ping: &swpb.Ping{}}}
	select {
	case s.lanes[0].writer.queue <- outFrame{env: env}:
	default:
	}
}

// call sends req and waits for its reply. The verdict is NotRun only while req
// has not been handed to the writer.
func (s *session) call(ctx context.Context, req *swpb.Envelope) (*swpb.Envelope, error) {
	id := s.next.Add(1)
	req.CallId = id
	l := s.lanes[id%uint64(len(s.lanes))]
	ch := make(chan *swpb.Envelope, 1)
	l.mu.Lock()
	l.pending[id] = ch
	l.mu.Unlock()
	s.outstanding.Add(1)
	defer s.outstanding.Add(-1)
	select {
	case l.writer.queue <- outFrame{env: req, tooLarge: func() *swpb.Envelope { return l.refuseLarge(id) }}:
	case <-s.done:
		l.forget(id)
		return nil, verdict.Newf(verdict.NotRun, verdict.PeerLost, "session to %s: %v", s.peer.Node, s.err)
	case <-ctx.Done():
		l.forget(id)
		return nil, verdict.Newf(verdict.NotRun, verdict.Deadline, "session to %s is congested", s.peer.Node)
	}
	return s.wait(ctx, l, id, ch)
}

func (s *session) wait(ctx context.Context, l *clientLane, id uint64, ch chan *swpb.Envelope) (*swpb.Envelope, error) {
	select {
	case env := <-ch:
		if f := env.GetFault(); f != nil {
			return nil, verdict.FromProto(f.GetVerdict())
		}
		return env, nil
	case <-s.done:
		l.forget(id)
		return nil, verdict.Newf(verdict.MayHaveRun, verdict.PeerLost, "session to %s: %v", s.peer.Node, s.err)
	case <-ctx.Done():
		l.forget(id)
		l.cancel(id)
		cause := verdict.Cancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cause = verdict.Deadline
		}
		return nil, verdict.Newf(verdict.MayHaveRun, cause, "no reply from %s in time", s.peer.Node)
	}
}

// refuseLarge answers a call whose request is too large for a frame.
func (l *clientLane) refuseLarge(id uint64) *swpb.Envelope {
	l.deliver(faultEnvelope(id, verdict.Newf(verdict.NotRun, verdict.TooLarge, "the request exceeds a frame of %d bytes", MaxFrameBytes)))
	return nil
}

// deliver hands a reply to the call of its number, if that still waits.
func (l *clientLane) deliver(env *swpb.Envelope) {
	l.mu.Lock()
	ch := l.pending[env.GetCallId()]
	delete(l.pending, env.GetCallId())
	l.mu.Unlock()
	if ch != nil {
		ch <- env
	}
}

func (l *clientLane) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// cancel tells the peer that nobody waits for the call any more.
func (l *clientLane) cancel(id uint64) {
	env := &swpb.Envelope{CallId: id, Body: &swpb.Envelope_Cancel{Cancel: &swpb.Cancel{}}}
	select {
	case l.writer.queue <- outFrame{env: env}:
	default:
	}
}

// heardConn reports every read that brought bytes.
type heardConn struct {
	net.Conn
	heard func()
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard()
	}
	return n, err
}
