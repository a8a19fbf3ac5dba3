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

// Timeouts and intervals of heartbeats and of the sessions that carry them.
const (
	heartbeatTimeout = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond // of the heartbeat that a helper sends, within heartbeatTimeout
	leaveTimeout     = 500 * time.Millisecond
	leaveFanout      = 4                            // peers that are notified of a graceful shutdown
	idleCheckTicks   = 20                           // ticks between two checks for idle sessions
	idleTimeout      = longPollWait + longPollSlack // longer than any call takes
)

// members does the I/O around a membership.Machine.
type members struct {
	s      *Service
	dialer *refusalDialer

	mu               sync.Mutex // guards the fields below
	machine          *membership.Machine
	publishedVersion uint64 // version of machine at the last publish
	ticks            int
	lastCall         map[string]time.Time // by address
}

func newMembers(s *Service, addr string, refused *refusalDialer, cfg membership.Config, rng *rand.Rand) *members {
	self := membership.Member{Node: s.cfg.Node, Zone: s.cfg.Zone, Incarnation: s.self.Incarnation, ControlAddr: addr}
	return &members{s: s, dialer: refused, machine: membership.New(cfg, self, rng), lastCall: map[string]time.Time{}}
}

// run calls tick once per heartbeat interval until ctx ends.
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

// tick publishes changes of the members, runs the periodic checks and sends the
// heartbeats that are due.
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

// closeIdle closes sessions that are no longer used. The peers change with the
// fleet, and a session kept to every member would take memory that grows with it.
func (m *members) closeIdle() {
	if keep := m.recentAddrs(); keep != nil {
		m.s.pool.Retain(keep)
	}
}

// recentAddrs returns the addresses called within idleTimeout on every
// idleCheckTicks-th call, else nil.
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

// client returns the client of the control process at addr and records its use.
func (m *members) client(addr string) *peer.Client {
	m.mu.Lock()
	m.lastCall[addr] = time.Now()
	m.mu.Unlock()
	return m.s.pool.Get(addr)
}

// addrIfRunning returns addr while a process of the role is running on this VM.
func (m *members) addrIfRunning(role, addr string) string {
	if m.s.procs.isRunning(role) {
		return addr
	}
	return ""
}

// sendHeartbeat sends a heartbeat to a member and handles the reply or the failure.
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

// requestProbe requests a probe of a node from a helper and records the result.
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

// newHeartbeat returns the heartbeat to a node. If probe is not empty, it requests a
// probe of that node.
func (m *members) newHeartbeat(to, probe string) *swpb.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &swpb.Heartbeat{
		From: memberToProto(m.machine.Self()), Digest: digestToProto(m.machine.Digest(to)),
		Revision: m.machine.Self().Revision, ProbeNode: probe, VetoHash: m.s.vetoes.hashKeys(),
	}
}

// handleReply applies the reply to a heartbeat and sends the peer this node's vetoes
// if its own differ.
func (m *members) handleReply(ctx context.Context, to membership.Member, r *swpb.HeartbeatReply) {
	m.applyHeartbeat(r.GetFrom(), r.GetDigest())
	m.s.applyVetoes(r.GetVetoes())
	if h := m.s.vetoes.hashKeys(); h != 0 && h != r.GetVetoHash() {
		msg := m.newHeartbeat(to.Node, "")
		msg.Vetoes = vetoesToProto(m.s.vetoes.all())
		_, _ = m.call(ctx, to, msg, heartbeatTimeout)
	}
}

// handleHeartbeat applies a heartbeat, probes a node if requested, and returns the
// reply.
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

// applyHeartbeat passes a heartbeat or the reply to one to the machine, and the
// sender's revision to the table synchronisation.
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
	others := m.machine.NumOthers()
	m.mu.Unlock()
	m.s.tableSync.observePeer(sender, others)
}

// probe sends a heartbeat to a node on behalf of another and reports whether it
// answered.
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

// applyList passes the system's VMs in the platform's list to the machine.
func (m *members) applyList(list []membership.ListedNode) {
	m.mu.Lock()
	m.machine.OnList(time.Now(), list)
	others := m.machine.NumOthers()
	m.mu.Unlock()
	m.s.tableSync.setPeerCount(others)
}

// list returns the members, this node included, in the states that this node
// assumes.
func (m *members) list() []fleetstate.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.machine.Members()
	out := make([]fleetstate.Member, len(all))
	for i, o := range all {
		out[i] = memberToFleet(o)
	}
	return out
}

func (m *members) numOthers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.NumOthers()
}

// relayCandidates returns the nodes that may become relays: those alive or suspect.
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

// heartbeatPeers sends heartbeats to all peers without waiting for the next tick.
func (m *members) heartbeatPeers() {
	m.mu.Lock()
	peers := m.machine.Peers()
	m.mu.Unlock()
	for _, p := range peers {
		go m.sendHeartbeat(context.Background(), p)
	}
}

// announceLeave notifies leaveFanout peers that this node shuts down; they send the
// update on.
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
