package fleetstate

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The timing of the long polls.
const (
	pollWait       = 10 * time.Second       // how long the control process may hold a poll open
	pollSlack      = 2 * time.Second        // time after pollWait until the call times out
	pollRetryAfter = 200 * time.Millisecond // after a failed call
)

// The errors of Register and Ready.
var (
	ErrNoRole   = errors.New("view: no peer role given")
	ErrNoTables = errors.New("view: no tables in force yet")
)

// Client is the service that keeps a Holder up to date by long polls of the
// VM's control process. The state stays available when the control process does
// not answer.
type Client struct {
	*Holder
	addr  string
	roles []string
	opts  peer.Options
	log   zerolog.Logger
	stop  context.CancelFunc
	done  chan struct{}
}

// Register adds the service named ServiceName. roles are the peer roles that
// this process fills: the control process publishes an address to the fleet
// only while the process of that role polls.
func Register(env *launch.Env, roles ...string) error {
	if len(roles) == 0 {
		return ErrNoRole
	}
	n := env.Settings.Node
	self := peer.Identity{Fleet: n.Fleet, Node: n.ID, Zone: n.Zone, Role: roles[0], Incarnation: uint64(time.Now().UnixNano())}
	return env.Kernel.Register(NewClient(env.Settings.Control.Listen, roles, peer.Options{Self: self, Streams: 1, Dial: env.Dial}, env.Log))
}

// NewClient returns a client of the control process at addr.
func NewClient(addr string, roles []string, o peer.Options, log zerolog.Logger) *Client {
	return &Client{Holder: NewHolder(), addr: addr, roles: roles, opts: o, log: log, done: make(chan struct{})}
}

// Name implements kernel.Service.
func (c *Client) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (c *Client) Needs() []string { return nil }

// Start implements kernel.Service.
func (c *Client) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, c.stop = context.WithCancel(ctx)
	go c.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (c *Client) Stop(context.Context) error {
	c.stop()
	<-c.done
	return nil
}

// Ready implements kernel.Service.
func (c *Client) Ready() error {
	if c.Current().Tables == nil {
		return ErrNoTables
	}
	return nil
}

func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	p := peer.NewClient(c.addr, c.opts)
	defer p.Close()
	metrics := telemetry.Map("view")
	var viewVersion uint64
	for ctx.Err() == nil {
		reply, err := c.poll(ctx, p, viewVersion)
		if err == nil {
			viewVersion = reply.GetViewVersion()
			err = c.apply(reply)
		}
		if err == nil {
			metrics.Add("polls", 1)
			continue
		}
		metrics.Add("failed_polls", 1)
		c.log.Debug().Err(err).Str("control", c.addr).Msg("poll of the control process failed")
		select {
		case <-time.After(pollRetryAfter):
		case <-ctx.Done():
		}
	}
}

func (c *Client) poll(ctx context.Context, p *peer.Client, viewVersion uint64) (*swpb.FeedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollSlack)
	defer cancel()
	req := &swpb.FeedRequest{
		HaveRevision: c.revision(), HaveView: viewVersion,
		WaitUs: uint64(pollWait.Microseconds()), Roles: c.roles,
	}
	env, err := p.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_FeedRequest{FeedRequest: req}})
	if err != nil {
		return nil, err
	}
	if env.GetFeedReply() == nil {
		return nil, peer.ErrBadFrame
	}
	return env.GetFeedReply(), nil
}

func (c *Client) revision() uint64 {
	if t := c.Current().Tables; t != nil {
		return t.Revision
	}
	return 0
}

// apply stores the content of a reply. Only tables of a higher revision replace
// the current ones, so a control process that restarts with older tables has no
// effect.
func (c *Client) apply(r *swpb.FeedReply) error {
	next := *c.Current()
	changed := false
	if len(r.GetTables()) > 0 && r.GetRevision() > c.revision() {
		t, err := tables.Parse(tables.Source{Name: fmt.Sprintf("revision %d", r.GetRevision()), Text: r.GetTables()})
		if err != nil {
			return err
		}
		t.Revision, t.EditID = r.GetRevision(), r.GetEditId()
		next.Tables = t
		changed = true
		c.log.Info().Uint64("revision", t.Revision).Msg("tables in force")
	}
	if r.GetHasMembers() {
		next.Members = mapSlice(r.GetMembers(), MemberFromProto)
		next.Vetoes = mergeVetoes(next.Vetoes, mapSlice(r.GetVetoes(), VetoFromProto))
		next.Stages = mergeStages(next.Stages, mapSlice(r.GetStages(), StageFromProto), next.Tables)
		next.Draining = map[string]bool{}
		for _, s := range r.GetSigns() {
			next.Draining[s.GetUpstream()] = s.GetLeaving()
		}
		changed = true
	}
	if changed {
		next.Vetoes = currentVetoes(next.Vetoes, next.Tables)
		next.Version++
		c.Store(&next)
	}
	return nil
}

// mergeVetoes returns the union of two lists. A veto that a reply lacks stays
// in force.
func mergeVetoes(have, more []Veto) []Veto {
	type key struct {
		pool, version string
		revision      uint64
	}
	seen := map[key]bool{}
	var out []Veto
	for _, v := range append(append([]Veto(nil), have...), more...) {
		k := key{v.Pool, v.Version, v.Revision}
		if !seen[k] {
			seen[k] = true
			out = append(out, v)
		}
	}
	return out
}

// currentVetoes drops the vetoes of rollouts that are no longer in the tables.
func currentVetoes(vetoes []Veto, t *tables.Tables) []Veto {
	if t == nil {
		return vetoes
	}
	var out []Veto
	for _, v := range vetoes {
		if v.AppliesTo(t) {
			out = append(out, v)
		}
	}
	return out
}

// mergeStages returns the most advanced stage of each rollout in the tables.
func mergeStages(have, more []RolloutStage, t *tables.Tables) []RolloutStage {
	if t == nil {
		return more
	}
	var out []RolloutStage
	merged := State{Stages: append(append([]RolloutStage(nil), have...), more...)}
	for _, pool := range t.Pools {
		if pool.Rollout == nil {
			continue
		}
		p := merged.Rollout(pool)
		out = append(out, RolloutStage{Pool: pool.Name, Version: pool.Rollout.To, Start: pool.Rollout.Start, Stage: p.Stage, HoldUntil: p.HoldUntil})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}
