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

// nodeTimeout bounds the call to one node.
const nodeTimeout = 2 * time.Second

// maxNodesAsked bounds the nodes that are asked at once.
const maxNodesAsked = 64

// The conditions of a node.
const (
	nodeInForce     = "in-force"    // has the highest revision
	nodeLagging     = "lagging"     // answers with an older revision
	nodeUnreachable = "unreachable" // doesn't answer here, other nodes hear it
	nodeCutOff      = "cut-off"     // answers neither here nor to other nodes
)

// nodeStatus is what is known of one node.
type nodeStatus struct {
	Node       string `json:"node"`
	Zone       string `json:"zone"`
	Control    string `json:"control"`
	Condition  string `json:"condition"`
	Revision   uint64 `json:"revision"`
	State      string `json:"state"` // as other nodes see it
	PlatformUp bool   `json:"platform_up"`
	Relay      bool   `json:"relay"`
	Error      string `json:"error,omitempty"`
}

// String is one line of the status.
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

// zoneStatus is the revision in force in one availability zone.
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

// report is the JSON output of status.
type report struct {
	Revision uint64          `json:"revision"` // highest in force anywhere
	Zones    []zoneStatus    `json:"zones"`
	Nodes    []nodeStatus    `json:"nodes"`
	Rollouts []rolloutStatus `json:"rollouts"`
}

// lagging returns the nodes that lack a revision. A node that neither swctl
// nor another node hears is left out, since it takes no callers either.
func (r report) lagging(revision uint64) []nodeStatus {
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

func (r report) answered() int {
	n := 0
	for _, node := range r.Nodes {
		if node.Error == "" {
			n++
		}
	}
	return n
}

func (r report) text() string {
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

// poller asks control processes for their status.
type poller struct {
	addrs []string
	names map[string]platform.VM // by address, from the list of VMs
	pool  *peer.Pool
}

// newPoller takes the addresses from --control or the list of VMs.
func (a *app) newPoller(ctx context.Context, client *platform.Client, s *settings.Settings) (*poller, error) {
	keys, err := peertls.Load(s.TLS, s.Node.Fleet)
	if err != nil {
		return nil, failf(ExitFailed, "%v", err)
	}
	opts := peer.Options{Self: peer.Identity{Fleet: s.Node.Fleet, Node: "swctl", Role: peer.RoleTool}, Streams: 1}
	if keys != nil {
		opts.Dial = keys.Dialer(nil)
	}
	p := &poller{
		addrs: inifile.SplitList(a.control),
		names: map[string]platform.VM{},
		pool:  peer.NewPool(opts),
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
			p.names[vm.Control] = vm
		}
	}
	return p, nil
}

func (p *poller) close() { p.pool.Close() }

// answer is one node's reply, or its error.
type answer struct {
	addr  string
	reply *swpb.StatusReply
	err   error
}

// poll asks all nodes at once.
func (p *poller) poll(ctx context.Context) report {
	answers := make([]answer, len(p.addrs))
	limit := make(chan struct{}, maxNodesAsked)
	var wg sync.WaitGroup
	for i, addr := range p.addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			limit <- struct{}{}
			defer func() { <-limit }()
			answers[i] = p.ask(ctx, addr)
		}()
	}
	wg.Wait()
	return p.join(answers)
}

func (p *poller) ask(ctx context.Context, addr string) answer {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	env := &swpb.Envelope{Body: &swpb.Envelope_StatusRequest{StatusRequest: &swpb.StatusRequest{}}}
	reply, err := p.pool.Get(addr).Call(ctx, env)
	if err != nil {
		return answer{addr: addr, err: err}
	}
	if reply.GetStatusReply() == nil {
		return answer{addr: addr, err: fmt.Errorf("reply of another kind")}
	}
	return answer{addr: addr, reply: reply.GetStatusReply()}
}

// join makes one report of the nodes' own replies and of what they say of the
// nodes that did not answer.
func (p *poller) join(answers []answer) report {
	heard := map[string]*swpb.Member{}
	self := map[string]answer{}
	var r report
	for _, ans := range answers {
		if ans.err != nil {
			continue
		}
		self[ans.reply.GetNode()] = ans
		r.Revision = max(r.Revision, ans.reply.GetRevision())
		for _, m := range ans.reply.GetMembers() {
			if better(m, heard[m.GetNode()]) {
				heard[m.GetNode()] = m
			}
		}
		r.Rollouts = mergeRollouts(r.Rollouts, ans.reply.GetRollouts())
	}
	nodes := map[string]nodeStatus{}
	for name, m := range heard {
		nodes[name] = silentNode(m)
	}
	for _, ans := range answers {
		n := p.nodeOf(ans, heard, r.Revision)
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

// better reports whether m is fresher news of a node than old.
func better(m, old *swpb.Member) bool {
	if old == nil || m.GetIncarnation() != old.GetIncarnation() {
		return old == nil || m.GetIncarnation() > old.GetIncarnation()
	}
	if m.GetRevision() != old.GetRevision() {
		return m.GetRevision() > old.GetRevision()
	}
	return m.GetState() < old.GetState()
}

// silentNode is the status of a node that only others know of.
func silentNode(m *swpb.Member) nodeStatus {
	n := nodeStatus{Node: m.GetNode(), Zone: m.GetZone(), Control: m.GetControlAddr(), Revision: m.GetRevision(), State: stateName(m.GetState())}
	n.Condition = nodeUnreachable
	if m.GetState() != swpb.MemberState_MEMBER_STATE_ALIVE && m.GetState() != swpb.MemberState_MEMBER_STATE_LEAVING {
		n.Condition = nodeCutOff
	}
	n.Error = "was not asked"
	return n
}

// nodeOf is the status of a node that was asked.
func (p *poller) nodeOf(ans answer, heard map[string]*swpb.Member, highest uint64) nodeStatus {
	if ans.err != nil {
		vm := p.names[ans.addr]
		n := nodeStatus{Node: vm.ID, Zone: vm.Zone, Control: ans.addr, Condition: nodeCutOff, Error: ans.err.Error()}
		if n.Node == "" {
			n.Node = nodeAt(ans.addr, heard)
		}
		return n
	}
	st := ans.reply
	n := nodeStatus{Node: st.GetNode(), Control: ans.addr, Revision: st.GetRevision(), PlatformUp: st.GetPlatformUp(), Relay: st.GetRelay(), Condition: nodeInForce}
	if n.Revision < highest {
		n.Condition = nodeLagging
	}
	if m := heard[n.Node]; m != nil {
		n.Zone, n.State = m.GetZone(), stateName(m.GetState())
	}
	return n
}

// nodeAt returns the node of a control address, or the address.
func nodeAt(addr string, heard map[string]*swpb.Member) string {
	for _, m := range heard {
		if m.GetControlAddr() == addr {
			return m.GetNode()
		}
	}
	return addr
}

func stateName(s swpb.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_STATE_"))
}

// mergeRollouts keeps, for each rollout, the phase furthest on.
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

// zonesOf sums the nodes that were heard by availability zone.
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
