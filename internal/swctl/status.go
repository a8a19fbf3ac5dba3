package swctl

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/peertls"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/rolloutstore"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

type settingsRef = *settings.Settings

// nodeTimeout limits a status call to one node.
const nodeTimeout = 2 * time.Second

// maxConcurrentCalls limits the status calls in flight at a time.
const maxConcurrentCalls = 64

// The conditions of a node.
const (
	nodeInForce     = "in-force"    // has the highest revision
	nodeLagging     = "lagging"     // answers with an older revision
	nodeUnreachable = "unreachable" // doesn't answer swctl, but other nodes report it as alive or draining
	nodeCutOff      = "cut-off"     // answers neither swctl nor other nodes
)

// nodeStatus is the status of one node, from its own reply and those of others.
type nodeStatus struct {
	Node       string `json:"node"`
	Zone       string `json:"zone"`
	Control    string `json:"control"`
	Condition  string `json:"condition"`
	Revision   uint64 `json:"revision"`
	State      string `json:"state"` // member state as seen by the nodes
	PlatformUp bool   `json:"platform_up"`
	Relay      bool   `json:"relay"`
	Error      string `json:"error,omitempty"`
}

// String formats the node as one line of the status.
func (n nodeStatus) String() string {
	s := fmt.Sprintf("%-12s %-10s revision %-6d %-11s %s", n.Node, n.Zone, n.Revision, n.Condition, n.State)
	if n.Relay {
		s += " relay"
	}
	if n.Error != "" {
		s += " (" + n.Error + ")"
	}
	return strings.TrimRight(s, " ")
}

// zoneStatus is the range of the revisions in force in one availability zone.
type zoneStatus struct {
	Zone  string `json:"zone"`
	Nodes int    `json:"nodes"`
	Low   uint64 `json:"low"`
	High  uint64 `json:"high"`
}

// rolloutStatus is the state of one rollout.
type rolloutStatus struct {
	Pool    string  `json:"pool"`
	Version string  `json:"version"`
	Phase   string  `json:"phase"`
	Share   float64 `json:"share"`
	Reason  string  `json:"reason,omitempty"`
}

// statusOutput is the JSON output of status.
type statusOutput struct {
	Revision uint64          `json:"revision"` // highest revision in force on any node
	Zones    []zoneStatus    `json:"zones"`
	Nodes    []nodeStatus    `json:"nodes"`
	Rollouts []rolloutStatus `json:"rollouts"`
}

// lagging returns the nodes with an older revision than the given one. It omits
// cut-off nodes, since they serve no callers either.
func (r statusOutput) lagging(revision uint64) []nodeStatus {
	var out []nodeStatus
	for _, n := range r.Nodes {
		if n.Revision < revision && n.Condition != nodeCutOff {
			out = append(out, n)
		}
	}
	return out
}

func (a *app) statusCommand() *ffcli.Command {
	return a.command("status", "", "Show the revision in force on every node, and rollouts.", `A node is 'lagging' when it answers with an older revision, 'unreachable' when
only other nodes hear it, and 'cut-off' when nobody does.

Examples:
  swctl status
  swctl status --json --control 127.0.0.1:7020`, a.status)
}

func (a *app) status(ctx context.Context, _ []string) error {
	s, err := a.settings()
	if err != nil {
		return err
	}
	client := platform.NewClient(s.Platform.KV, s.Platform.VMs, platformTimeout)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	p, err := a.newPoller(ctx, client, s)
	if err != nil {
		return err
	}
	defer p.close()
	r := p.poll(ctx)
	a.print(r, r.text())
	if len(r.Nodes) == 0 || r.answered() == 0 {
		return failf(ExitFailed, "no node answered")
	}
	return nil
}

func (r statusOutput) answered() int {
	n := 0
	for _, node := range r.Nodes {
		if node.Error == "" {
			n++
		}
	}
	return n
}

func (r statusOutput) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d\n", r.Revision)
	for _, z := range r.Zones {
		fmt.Fprintf(&b, "zone %s: %d nodes, revision %d", z.Zone, z.Nodes, z.Low)
		if z.High != z.Low {
			fmt.Fprintf(&b, " to %d", z.High)
		}
		b.WriteString("\n")
	}
	b.WriteString(lines("  ", r.Nodes))
	for _, ro := range r.Rollouts {
		fmt.Fprintf(&b, "rollout of pool %s to %s: %s, share %.1f%%", ro.Pool, ro.Version, ro.Phase, ro.Share*100)
		if ro.Reason != "" {
			b.WriteString(", " + ro.Reason)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// poller reads the status of control processes.
type poller struct {
	addrs    []string
	vmByAddr map[string]platform.VM // by address, from the list of VMs
	pool     *peer.Pool
}

// newPoller returns a poller for the addresses from --control, else for those in
// the platform's list of VMs.
func (a *app) newPoller(ctx context.Context, client *platform.Client, s *settings.Settings) (*poller, error) {
	creds, err := peertls.Load(s.TLS, s.Node.Fleet)
	if err != nil {
		return nil, failf(ExitFailed, "%v", err)
	}
	opts := peer.Options{Self: peer.Identity{Fleet: s.Node.Fleet, Node: "swctl", Role: peer.RoleTool}, Streams: 1}
	if creds != nil {
		opts.Dial = creds.Dialer(nil)
	}
	p := &poller{
		addrs:    inifile.SplitList(a.control),
		vmByAddr: map[string]platform.VM{},
		pool:     peer.NewPool(opts),
	}
	if len(p.addrs) > 0 {
		return p, nil
	}
	vms, err := client.VMs(ctx)
	if err != nil {
		return nil, failf(ExitFailed, "read the list of VMs: %v; name control processes with --control", err)
	}
	for _, vm := range vms {
		if vm.Kind == platform.KindSystem && vm.Control != "" {
			p.addrs = append(p.addrs, vm.Control)
			p.vmByAddr[vm.Control] = vm
		}
	}
	return p, nil
}

func (p *poller) close() { p.pool.Close() }

// nodeReply is the reply of one node to a status request, or the error of the
// call.
type nodeReply struct {
	addr  string
	reply *swpb.StatusReply
	err   error
}

// poll reads the status of all nodes concurrently.
func (p *poller) poll(ctx context.Context) statusOutput {
	answers := make([]nodeReply, len(p.addrs))
	limit := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, addr := range p.addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			limit <- struct{}{}
			defer func() { <-limit }()
			answers[i] = p.status(ctx, addr)
		}()
	}
	wg.Wait()
	return p.merge(answers)
}

func (p *poller) status(ctx context.Context, addr string) nodeReply {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	env := &swpb.Envelope{Body: &swpb.Envelope_StatusRequest{StatusRequest: &swpb.StatusRequest{}}}
	reply, err := p.pool.Get(addr).Call(ctx, env)
	if err != nil {
		return nodeReply{addr: addr, err: err}
	}
	if reply.GetStatusReply() == nil {
		return nodeReply{addr: addr, err: fmt.Errorf("node answered the status request with a message that is not a status reply")}
	}
	return nodeReply{addr: addr, reply: reply.GetStatusReply()}
}

// merge combines the nodes' own replies with the member states that they report
// of nodes that did not answer.
func (p *poller) merge(answers []nodeReply) statusOutput {
	members := map[string]*swpb.Member{}
	self := map[string]nodeReply{}
	var r statusOutput
	for _, ans := range answers {
		if ans.err != nil {
			continue
		}
		self[ans.reply.GetNode()] = ans
		r.Revision = max(r.Revision, ans.reply.GetRevision())
		for _, m := range ans.reply.GetMembers() {
			if newer(m, members[m.GetNode()]) {
				members[m.GetNode()] = m
			}
		}
		r.Rollouts = mergeRollouts(r.Rollouts, ans.reply.GetRollouts())
	}
	nodes := map[string]nodeStatus{}
	for name, m := range members {
		nodes[name] = unreachableNode(m)
	}
	for _, ans := range answers {
		n := p.nodeOf(ans, members, r.Revision)
		if known, ok := nodes[n.Node]; ans.err != nil && ok {
			known.Error, known.Control = n.Error, n.Control
			n = known
		}
		nodes[n.Node] = n
	}
	for _, n := range nodes {
		r.Nodes = append(r.Nodes, n)
	}
	sort.Slice(r.Nodes, func(i, j int) bool { return r.Nodes[i].Node < r.Nodes[j].Node })
	r.Zones = zonesOf(r.Nodes)
	return r
}

// newer reports whether m is more recent than old, a report of the same node. For
// equal incarnation and revision, the lower member state is preferred.
func newer(m, old *swpb.Member) bool {
	if old == nil || m.GetIncarnation() != old.GetIncarnation() {
		return old == nil || m.GetIncarnation() > old.GetIncarnation()
	}
	if m.GetRevision() != old.GetRevision() {
		return m.GetRevision() > old.GetRevision()
	}
	return m.GetState() < old.GetState()
}

// unreachableNode returns the status of a node that is known only from the replies
// of other nodes.
func unreachableNode(m *swpb.Member) nodeStatus {
	n := nodeStatus{Node: m.GetNode(), Zone: m.GetZone(), Control: m.GetControlAddr(), Revision: m.GetRevision(), State: stateName(m.GetState())}
	n.Condition = nodeUnreachable
	if m.GetState() != swpb.MemberState_MEMBER_STATE_ALIVE && m.GetState() != swpb.MemberState_MEMBER_STATE_LEAVING {
		n.Condition = nodeCutOff
	}
	n.Error = "was not asked"
	return n
}

// nodeOf returns the status of a node that was called.
func (p *poller) nodeOf(ans nodeReply, members map[string]*swpb.Member, highest uint64) nodeStatus {
	if ans.err != nil {
		vm := p.vmByAddr[ans.addr]
		n := nodeStatus{Node: vm.ID, Zone: vm.Zone, Control: ans.addr, Condition: nodeCutOff, Error: ans.err.Error()}
		if n.Node == "" {
			n.Node = nodeAt(ans.addr, members)
		}
		return n
	}
	st := ans.reply
	n := nodeStatus{Node: st.GetNode(), Control: ans.addr, Revision: st.GetRevision(), PlatformUp: st.GetPlatformUp(), Relay: st.GetRelay(), Condition: nodeInForce}
	if n.Revision < highest {
		n.Condition = nodeLagging
	}
	if m := members[n.Node]; m != nil {
		n.Zone, n.State = m.GetZone(), stateName(m.GetState())
	}
	return n
}

// nodeAt returns the name of the node at a control address, or the address if no
// member has it.
func nodeAt(addr string, members map[string]*swpb.Member) string {
	for _, m := range members {
		if m.GetControlAddr() == addr {
			return m.GetNode()
		}
	}
	return addr
}

func stateName(s swpb.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_STATE_"))
}

// mergeRollouts adds rollouts to those already known. If phases of a rollout
// differ, the most advanced one is kept.
func mergeRollouts(have []rolloutStatus, more []*swpb.RolloutStatus) []rolloutStatus {
	rank := map[string]int{string(rolloutstore.InProgress): 1, string(rolloutstore.Done): 2, string(rolloutstore.RolledBack): 3}
	for _, m := range more {
		n := rolloutStatus{m.GetPool(), m.GetVersion(), m.GetPhase(), m.GetShare(), m.GetReason()}
		found := false
		for i, h := range have {
			if h.Pool != n.Pool || h.Version != n.Version {
				continue
			}
			found = true
			if rank[n.Phase] > rank[h.Phase] {
				have[i] = n
			}
		}
		if !found {
			have = append(have, n)
		}
	}
	sort.Slice(have, func(i, j int) bool { return have[i].Pool < have[j].Pool })
	return have
}

// zonesOf summarizes the nodes by availability zone, without cut-off ones.
func zonesOf(nodes []nodeStatus) []zoneStatus {
	byZone := map[string]*zoneStatus{}
	for _, n := range nodes {
		if n.Condition == nodeCutOff {
			continue
		}
		z := byZone[n.Zone]
		if z == nil {
			z = &zoneStatus{Zone: n.Zone, Low: n.Revision}
			byZone[n.Zone] = z
		}
		z.Nodes++
		z.Low, z.High = min(z.Low, n.Revision), max(z.High, n.Revision)
	}
	var out []zoneStatus
	for _, z := range byZone {
		out = append(out, *z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}
