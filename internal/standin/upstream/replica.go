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

// ErrRunning is returned when a replica is started twice.
var ErrRunning = errors.New("standin: replica is running already")

// Config describes a replica.
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
	ConnectCost time.Duration // busy time of a slot for each new connection
	ColdSlots   int
	Service     ServiceTime
	Cold        ColdStart
	Seed        uint64
	// SumRoutes names the routes whose parts are bare numbers, the Sum of the range.
	SumRoutes map[string]bool
}

// ServiceTime is a lognormal distribution.
type ServiceTime struct {
	Mean  time.Duration
	Sigma float64
}

// ColdStart says how a replica is slow and weak until it has done some work.
type ColdStart struct {
	SlowFactor   float64       // service times are multiplied when fully cold
	WarmAfter    int           // answered runs until it is warm
	RestartDelay time.Duration // time that a crashed replica stays down
}

// Replica is one stand-in. It is safe for concurrent use.
type Replica struct {
	cfg    Config
	ledger *RequestLog

	mu       sync.Mutex // guards the fields below
	life     *life      // nil while down
	starts   int
	faults   Faults
	draining bool
	warmth   int
	held     []wire.Held
	last     []byte // last answer sent, for AnswerCrossed
	coldPeak int    // most requests at once while cold
	restart  *time.Timer
	closed   bool
}

// life is the time from a start to the end of the process that it plays.
type life struct {
	ln      net.Listener
	startID string
	slots   *slots
	ended   chan struct{}

	mu    sync.Mutex // guards the fields below
	conns map[net.Conn]*connState
	runs  map[runKey]chan struct{} // closed to cancel
}

// connState is what the stand-in knows of one accepted connection.
type connState struct {
	silent chan struct{} // closed: says nothing from now on
	once   sync.Once
}

type runKey struct{ request, attempt string }

func newReplica(c Config, l *RequestLog) *Replica {
	return &Replica{cfg: c, ledger: l}
}

// Config returns the replica's configuration, with its address once started.
func (r *Replica) Config() Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg
}

// Start listens and serves; the replica is cold unless warm is true.
func (r *Replica) Start(warm bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != nil {
		return eris.Wrap(ErrRunning, r.cfg.ID)
	}
	ln, err := net.Listen("tcp", r.cfg.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen for upstream %q", r.cfg.ID)
	}
	r.cfg.Addr = ln.Addr().String()
	r.starts++
	r.draining = false
	r.warmth = 0
	if warm {
		r.warmth = r.cfg.Cold.WarmAfter
	}
	l := &life{
		ln: ln, startID: fmt.Sprintf("%s-%d-%d", r.cfg.ID, r.cfg.Seed, r.starts),
		slots: newSlots(r.cfg.Slots, r.cfg.Queue), ended: make(chan struct{}),
		conns: map[net.Conn]*connState{}, runs: map[runKey]chan struct{}{},
	}
	r.life = l
	go r.accept(l)
	return nil
}

// Kill closes the listener and resets all connections; what was running is
// lost.
func (r *Replica) Kill() {
	r.mu.Lock()
	l := r.life
	r.life = nil
	if r.restart != nil {
		r.restart.Stop()
	}
	r.mu.Unlock()
	if l != nil {
		l.end()
	}
}

// Restart kills the replica and starts it cold under a new start id.
func (r *Replica) Restart() error {
	r.Kill()
	return r.Start(false)
}

// crash ends the life l, and starts the replica again after its restart time.
func (r *Replica) crash(l *life) {
	r.mu.Lock()
	if r.life != l || r.closed {
		r.mu.Unlock()
		return
	}
	r.life = nil
	r.mu.Unlock()
	// The address is free once the life has ended.
	l.end()
	r.startLater()
}

// startLater starts the replica after its restart time, unless it is closed or
// started meanwhile. It tries again while another holds the address.
func (r *Replica) startLater() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.life != nil {
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

// close kills the replica for good.
func (r *Replica) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Kill()
}

// Drain makes the replica report that it is leaving; it still serves.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// ResetWarmup takes the replica's warmth without a restart.
func (r *Replica) ResetWarmup() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmth = 0
}

// StallConnections makes the open connections say nothing from now on; new ones work.
func (r *Replica) StallConnections() {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.once.Do(func() { close(c.silent) })
	}
}

// UpdateFaults changes the faults of the replica.
func (r *Replica) UpdateFaults(change func(*Faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.faults)
}

// Running says whether the replica listens.
func (r *Replica) Running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life != nil
}

// ColdPeak returns the most requests that the replica had at once while cold.
func (r *Replica) ColdPeak() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldPeak
}

// Connections returns the number of open connections.
func (r *Replica) Connections() int {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// hold replaces the snapshots held.
func (r *Replica) hold(held []wire.Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
}

func (l *life) end() {
	close(l.ended)
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// coldness is 1 for a fully cold replica and 0 for a warm one. r.mu is held.
func (r *Replica) coldness() float64 {
	if r.cfg.Cold.WarmAfter <= 0 || r.warmth >= r.cfg.Cold.WarmAfter {
		return 0
	}
	return 1 - float64(r.warmth)/float64(r.cfg.Cold.WarmAfter)
}

// state is the state that the replica reports. r.mu is held.
func (r *Replica) state() string {
	switch {
	case r.draining:
		return wire.StateDraining
	case r.coldness() > 0:
		return wire.StateCold
	default:
		return wire.StateReady
	}
}
