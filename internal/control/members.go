package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The times of heartbeats.
const (
	heartbeatTimeout = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond // of a helper, within beatTimeout
	leaveTimeout     = 500 * time.Millisecond
	leaveFanout      = 4                            // peers told of a graceful shutdown
	idleCheckTicks   = 20                           // ticks between two looks for idle sessions
	idleTimeout      = longPollWait + longPollSlack // longer than any call lasts
)

// members does the I/O around the membership machine.
type members struct {
	s      *Service
	dialer *refusalDialer

	mu               sync.Mutex // guards the fields below
	machine          *membership.Machine
	publishedVersion uint64 // version that was published
	ticks            int
	lastCall         map[string]time.Time // last call to an address
}

func newMembers(s *Service, addr string, refused *refusalDialer, cfg membership.Config, rng *rand.Rand) *members {
	self := membership.Member{Node: s.cfg.Node, Zone: s.cfg.Zone, Incarnation: s.self.Incarnation, ControlAddr: addr}
	return &members{s: s, dialer: refused, machine: membership.New(cfg, self, rng), lastCall: map[string]time.Time{}}
}

// run sends heartbeats once an interval.
func (m *members) run(ctx context.Context) {
	tick := time.NewTicker(m.s.cfg.Interval)
	defer tick.Stop()
	for {
		m.tick(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *members) tick(ctx context.Context) {
	m.mu.Lock()
	m.machine.SetAddrs(m.addrIfRunning(peer.RoleEgress, m.s.cfg.EgressAddr), m.addrIfRunning(peer.RoleEntry, m.s.cfg.EntryAddr))
	targets := m.machine.Tick(time.Now())
	version := m.machine.Version()
	changed := version != m.publishedVersion
	m.publishedVersion = version
	m.mu.Unlock()
	if changed {
		m.s.publish()
	}
	m.s.tableSync.tick()
	m.closeIdle()
	for _, t := range targets {
		go m.sendHeartbeat(ctx, t)
	}
}

// closeIdle closes the sessions to members that are called no more: the peers
// change with the fleet, and a session to every member would take memory that
// grows with it.
func (m *members) closeIdle() {
	if keep := m.recentAddrs(); keep != nil {
		m.s.pool.Retain(keep)
	}
}

// recentAddrs returns the addresses that were called of late, each closeEvery calls,
// else nil.
func (m *members) recentAddrs() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ticks++
	if m.ticks%idleCheckTicks != 0 {
		return nil
	}
	keep := map[string]bool{}
	for addr, last := range m.lastCall {
		if time.Since(last) < idleTimeout {
			keep[addr] = true
			continue
		}
		delete(m.lastCall, addr)
	}
	return keep
}

// client returns the client of a control and notes its use.
func (m *members) client(addr string) *peer.Client {
	m.mu.Lock()
	m.lastCall[addr] = time.Now()
	m.mu.Unlock()
	return m.s.pool.Get(addr)
}

// addrIfRunning returns addr while a process of the role polls.
func (m *members) addrIfRunning(role, addr string) string {
	if m.s.procs.isRunning(role) {
		return addr
	}
	return ""
}

// sendHeartbeat sends a heartbeat to a member and takes the reply or the failure.
func (m *members) sendHeartbeat(ctx context.Context, to membership.Member) {
	reply, err := m.call(ctx, to, m.newHeartbeat(to.Node, ""), heartbeatTimeout)
	if err == nil {
		m.handleReply(ctx, to, reply)
		return
	}
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	helpers := m.machine.OnHeartbeatFailure(time.Now(), to.Node, m.dialer.wasRefused(to.ControlAddr))
	m.mu.Unlock()
	for _, h := range helpers {
		go m.requestProbe(ctx, h, to.Node)
	}
}

// requestProbe lets a helper try a member.
func (m *members) requestProbe(ctx context.Context, helper membership.Member, node string) {
	reply, err := m.call(ctx, helper, m.newHeartbeat(helper.Node, node), 2*heartbeatTimeout)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.OnProbeResult(time.Now(), node, err == nil && reply.GetProbeOk())
}

func (m *members) call(ctx context.Context, to membership.Member, h *swpb.Heartbeat, timeout time.Duration) (*swpb.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	env, err := m.client(to.ControlAddr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_Heartbeat{Heartbeat: h}})
	if err != nil {
		return nil, err
	}
	if env.GetHeartbeatReply() == nil {
		return nil, peer.ErrBadFrame
	}
	return env.GetHeartbeatReply(), nil
}

// newHeartbeat makes the message to a node; probe names a member for it to try.
func (m *members) newHeartbeat(to, probe string) *swpb.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &swpb.Heartbeat{
		From: memberToProto(m.machine.Self()), Digest: digestToProto(m.machine.Digest(to)),
		Revision: m.machine.Self().Revision, ProbeNode: probe, VetoHash: m.s.vetoes.hashKeys(),
	}
}

// handleReply merges a reply; the peer is sent the vetoes that it lacks.
func (m *members) handleReply(ctx context.Context, to membership.Member, r *swpb.HeartbeatReply) {
	m.applyHeartbeat(r.GetFrom(), r.GetDigest())
	m.s.applyVetoes(r.GetVetoes())
	if h := m.s.vetoes.hashKeys(); h != 0 && h != r.GetVetoHash() {
		beat := m.newHeartbeat(to.Node, "")
		beat.Vetoes = vetoesToProto(m.s.vetoes.all())
		_, _ = m.call(ctx, to, beat, heartbeatTimeout)
	}
}

// handleHeartbeat answers a heartbeat.
func (m *members) handleHeartbeat(ctx context.Context, h *swpb.Heartbeat) *swpb.HeartbeatReply {
	m.applyHeartbeat(h.GetFrom(), h.GetDigest())
	m.s.applyVetoes(h.GetVetoes())
	reply := &swpb.HeartbeatReply{VetoHash: m.s.vetoes.hashKeys()}
	if h.GetProbeNode() != "" {
		reply.ProbeOk = m.probe(ctx, h.GetProbeNode())
	}
	m.mu.Lock()
	reply.From = memberToProto(m.machine.Self())
	reply.Digest = digestToProto(m.machine.Digest(h.GetFrom().GetNode()))
	reply.Revision = m.machine.Self().Revision
	m.mu.Unlock()
	if reply.GetVetoHash() != h.GetVetoHash() {
		reply.Vetoes = vetoesToProto(m.s.vetoes.all())
	}
	return reply
}

// applyHeartbeat passes what a peer says to the machine and the tables' source.
func (m *members) applyHeartbeat(from *swpb.Member, digest []*swpb.Member) {
	sender := memberFromProto(from)
	if sender.Node == "" {
		return
	}
	list := make([]membership.Member, len(digest))
	for i, d := range digest {
		list[i] = memberFromProto(d)
	}
	m.mu.Lock()
	m.machine.OnHeartbeat(time.Now(), sender, list)
	known := m.machine.NumOthers()
	m.mu.Unlock()
	m.s.tableSync.observePeer(sender, known)
}

// probe tries a member for another node.
func (m *members) probe(ctx context.Context, node string) bool {
	to, ok := m.lookup(node)
	if !ok {
		return false
	}
	reply, err := m.call(ctx, to, m.newHeartbeat(node, ""), probeTimeout)
	if err == nil {
		m.applyHeartbeat(reply.GetFrom(), reply.GetDigest())
	}
	return err == nil
}

func (m *members) lookup(node string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Lookup(node)
}

// applyList passes the platform's list to the machine.
func (m *members) applyList(list []membership.ListedNode) {
	m.mu.Lock()
	m.machine.OnList(time.Now(), list)
	known := m.machine.NumOthers()
	m.mu.Unlock()
	m.s.tableSync.setPeerCount(known)
}

// list returns the members as this node believes them.
func (m *members) list() []fleetstate.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.machine.Members()
	out := make([]fleetstate.Member, len(own))
	for i, o := range own {
		out[i] = memberToFleet(o)
	}
	return out
}

func (m *members) numOthers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.NumOthers()
}

// relayCandidates returns the nodes that can be relays.
func (m *members) relayCandidates() []ownership.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []ownership.Candidate
	for _, o := range m.machine.Members() {
		if o.State == membership.Alive || o.State == membership.Suspect {
			out = append(out, ownership.Candidate{Node: o.Node, Zone: o.Zone})
		}
	}
	return out
}

func (m *members) setRevision(r uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.SetRevision(r)
}

// heartbeatPeers sends heartbeats to all peers at once.
func (m *members) heartbeatPeers() {
	m.mu.Lock()
	peers := m.machine.Peers()
	m.mu.Unlock()
	for _, p := range peers {
		go m.sendHeartbeat(context.Background(), p)
	}
}

// announceLeave tells some peers that this node shuts down; they tell the others.
func (m *members) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	m.mu.Lock()
	m.machine.Leave()
	peers := m.machine.Peers()
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range peers[:min(len(peers), leaveFanout)] {
		wg.Go(func() { _, _ = m.call(ctx, p, m.newHeartbeat(p.Node, ""), leaveTimeout) })
	}
	wg.Wait()
}
