package upstream

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

// ErrRunning is returned on the start of a replica that is running.
var ErrRunning = errors.New("standin: replica is running already")

// Config configures a replica.
type Config struct {
	ID          string
	Addr        string // IP:port
	Pool        string
	Zone        string
	Shard       int
	Version     string
	Slots       int
	Queue       int // requests that may wait for a slot
	Connections int
	ConnectCost time.Duration // time for which each new connection occupies a slot
	ColdSlots   int
	Service     ServiceTime
	Cold        ColdStart
	Seed        uint64
	// SumRoutes has the routes whose parts are only a number, the Sum of the range.
	SumRoutes map[string]bool
}

// ServiceTime is a lognormal distribution of service times.
type ServiceTime struct {
	Mean  time.Duration
	Sigma float64
}

// ColdStart configures a cold replica, which is slower than a warm one and crashes
// when its queue is full. It warms up by answering requests.
type ColdStart struct {
	SlowFactor   float64       // factor on the service times of a fully cold replica
	WarmAfter    int           // number of answered requests until it is warm
	RestartDelay time.Duration // time that a crashed replica stays down
}

// Replica is the stand-in for one upstream. It is safe for concurrent use.
type Replica struct {
	cfg      Config
	requests *RequestLog

	mu         sync.Mutex // guards the fields below
	process    *process   // nil while down
	starts     int
	faults     Faults
	draining   bool
	warmupDone int
	held       []wire.HeldSnapshot
	last       []byte // last answer sent, for AnswerCrossed
	coldPeak   int    // most requests executing or queued at once while cold
	restart    *time.Timer
	closed     bool
}

// process is the state of one simulated server process, from its start to its end.
type process struct {
	ln      net.Listener
	startID string
	slots   *slots
	ended   chan struct{}

	mu    sync.Mutex // guards the fields below
	conns map[net.Conn]*connState
	runs  map[runKey]chan struct{} // closed to cancel
}

// connState is the state of one accepted connection.
type connState struct {
	stalled chan struct{} // closed when the connection stalls
	once    sync.Once
}

type runKey struct{ request, attempt string }

func newReplica(c Config, l *RequestLog) *Replica {
	return &Replica{cfg: c, requests: l}
}

// Config returns the replica's configuration. Once the replica has been started,
// Addr is the address that it listens on.
func (r *Replica) Config() Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg
}

// Start makes the replica listen and serve; it is cold unless warm is true.
func (r *Replica) Start(warm bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		return eris.Wrap(ErrRunning, r.cfg.ID)
	}
	ln, err := net.Listen("tcp", r.cfg.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen for upstream %q", r.cfg.ID)
	}
	r.cfg.Addr = ln.Addr().String()
	r.starts++
	r.draining = false
	r.warmupDone = 0
	if warm {
		r.warmupDone = r.cfg.Cold.WarmAfter
	}
	p := &process{
		ln: ln, startID: fmt.Sprintf("%s-%d-%d", r.cfg.ID, r.cfg.Seed, r.starts),
		slots: newSlots(r.cfg.Slots, r.cfg.Queue), ended: make(chan struct{}),
		conns: map[net.Conn]*connState{}, runs: map[runKey]chan struct{}{},
	}
	r.process = p
	go r.accept(p)
	return nil
}

// Kill closes the listener and resets all connections; requests in flight are
// lost.
func (r *Replica) Kill() {
	r.mu.Lock()
	p := r.process
	r.process = nil
	if r.restart != nil {
		r.restart.Stop()
	}
	r.mu.Unlock()
	if p != nil {
		p.end()
	}
}

// Restart kills the replica and starts it cold with a new start ID.
func (r *Replica) Restart() error {
	r.Kill()
	return r.Start(false)
}

// crash ends the process l and starts a new one after the restart delay.
func (r *Replica) crash(p *process) {
	r.mu.Lock()
	if r.process != p || r.closed {
		r.mu.Unlock()
		return
	}
	r.process = nil
	r.mu.Unlock()
	// The address is free once the process has ended.
	p.end()
	r.startLater()
}

// startLater starts the replica after the restart delay unless it is closed or
// started before. It tries again while the address is in use.
func (r *Replica) startLater() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.process != nil {
		return
	}
	r.restart = time.AfterFunc(r.cfg.Cold.RestartDelay, func() {
		if err := r.startUnlessClosed(); err != nil && !errors.Is(err, ErrRunning) {
			r.startLater()
		}
	})
}

func (r *Replica) startUnlessClosed() error {
	r.mu.Lock()
	closed := r.closed
	r.mu.Unlock()
	if closed {
		return nil
	}
	return r.Start(false)
}

// close kills the replica and prevents later restarts after a crash.
func (r *Replica) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Kill()
}

// Drain makes the replica report that it is draining; it still serves requests.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// ResetWarmup makes the replica cold without a restart.
func (r *Replica) ResetWarmup() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmupDone = 0
}

// StallConnections stops all answers on the connections that are open now; new
// connections work.
func (r *Replica) StallConnections() {
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.once.Do(func() { close(c.stalled) })
	}
}

// UpdateFaults changes the faults of the replica.
func (r *Replica) UpdateFaults(change func(*Faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.faults)
}

// Running reports whether the replica listens.
func (r *Replica) Running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process != nil
}

// ColdPeak returns the largest number of requests that the replica executed or
// queued at once while cold.
func (r *Replica) ColdPeak() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldPeak
}

// Connections returns the number of open connections.
func (r *Replica) Connections() int {
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// setHeld replaces the snapshots that the replica holds.
func (r *Replica) setHeld(held []wire.HeldSnapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
}

func (p *process) end() {
	close(p.ended)
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// coldFraction returns 1 for a fully cold replica, 0 for a warm one, and a value
// between during warm-up. The caller must hold r.mu.
func (r *Replica) coldFraction() float64 {
	if r.cfg.Cold.WarmAfter <= 0 || r.warmupDone >= r.cfg.Cold.WarmAfter {
		return 0
	}
	return 1 - float64(r.warmupDone)/float64(r.cfg.Cold.WarmAfter)
}

// state returns the state that the replica reports. The caller must hold r.mu.
func (r *Replica) state() string {
	switch {
	case r.draining:
		return wire.StateDraining
	case r.coldFraction() > 0:
		return wire.StateCold
	default:
		return wire.StateReady
	}
}
