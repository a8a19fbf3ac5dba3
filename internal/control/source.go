package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
	"github.com/sapphirewall/sapphirewall/internal/decide/membership"
	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/decide/revision"
	"github.com/sapphirewall/sapphirewall/internal/delta"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The times of getting tables.
const (
	watchWait  = 10 * time.Second // long poll of the platform and of relays
	watchSlack = 2 * time.Second
	firstCall  = time.Second // wait for peers before the first platform call
	fetchAfter = time.Second // behind for so long, a node asks who is ahead
	fetchSlack = 500 * time.Millisecond
	// readers is the number of relays that read texts for the fleet, and
	// readerWait how long the others wait for each of them.
	readers    = 2
	readerWait = 500 * time.Millisecond
	// soonReturns is the time under which a watch without news counts as a
	// call that must be paced.
	soonReturns = time.Second
)

// source brings the tables: from the platform on a relay, from a relay of the
// zone on other nodes, and from any peer that is ahead.
type source struct {
	s     *Service
	rng   *rand.Rand
	began time.Time
	texts *texts

	mu         sync.Mutex // guards the fields below
	machine    *revision.Tracker
	noDelta    bool // the last delta did not fit
	up         bool // the platform answered the last call
	relay      bool
	ahead      membership.Member // a peer that has a newer revision
	aheadSince time.Time
	fetching   bool
	alone      bool // the list of VMs names no other node
}

func newSource(s *Service, rng *rand.Rand) *source {
	now := time.Now()
	return &source{s: s, rng: rng, began: now, machine: revision.New(revision.DefaultConfig(), now), texts: newTexts(), relay: true}
}

func (c *source) run(ctx context.Context) {
	platformPace := backoff.New(backoff.DefaultConfig(), c.rng)
	peerPace := backoff.New(backoff.DefaultConfig(), c.rng)
	var head tablestore.Head
	c.awaitPeers(ctx)
	for ctx.Err() == nil {
		route := relay.SourceOf(c.s.cfg.Node, c.s.cfg.Zone, c.s.members.candidates(), c.s.cfg.Relays)
		c.setRelay(route.Platform)
		if route.Platform {
			c.paced(ctx, platformPace, func() bool { return c.watch(ctx, &head) })
			continue
		}
		turn := peerPace.Failures() % len(route.Relays)
		c.paced(ctx, peerPace, func() bool { return c.pollRelay(ctx, route.Relays[turn]) })
	}
}

// awaitPeers waits a little for peers, which save the platform the calls of
// nodes that start together.
func (c *source) awaitPeers(ctx context.Context) {
	for time.Since(c.began) < firstCall && !c.isAlone() && len(c.s.members.candidates()) < 2 {
		if !sleep(ctx, 0, time.Now().Add(firstCall/20)) {
			return
		}
	}
}

// paced makes a call when its pace allows it.
func (c *source) paced(ctx context.Context, pace *backoff.Pacer, call func() bool) {
	if !sleep(ctx, 0, pace.Next(time.Now())) {
		return
	}
	began := time.Now()
	pace.Called(began)
	ok := call()
	if ok && time.Since(began) >= soonReturns {
		pace.Done(time.Now(), true)
		return
	}
	pace.Done(time.Now(), ok)
}

// pollRelay makes one long poll of a relay.
func (c *source) pollRelay(ctx context.Context, node string) bool {
	to, ok := c.s.members.lookup(node)
	if !ok {
		return false
	}
	reply, err := c.poll(ctx, to, watchWait)
	if err != nil {
		return false
	}
	c.setUp(reply.GetPlatformUp())
	if reply.GetSignsHash() != signsHash(c.s.list.leaving()) {
		signs := map[string]bool{}
		for _, s := range reply.GetSigns() {
			signs[s.GetUpstream()] = s.GetLeaving()
		}
		c.s.list.setSigns(signs)
	}
	return true
}

// poll asks a control for tables newer than this node's.
func (c *source) poll(ctx context.Context, to membership.Member, wait time.Duration) (*swpb.FeedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+min(watchSlack, max(wait, fetchSlack)))
	defer cancel()
	have := c.best()
	req := &swpb.FeedRequest{
		HaveRevision: have, WaitUs: uint64(wait.Microseconds()),
		TablesOnly: true, HaveSigns: signsHash(c.s.list.leaving()), TakesDelta: c.takesDelta(have),
	}
	env, err := c.s.members.client(to.ControlAddr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_FeedRequest{FeedRequest: req}})
	if err != nil {
		return nil, err
	}
	reply := env.GetFeedReply()
	if reply == nil {
		return nil, peer.ErrBadFrame
	}
	text := reply.GetTables()
	if len(reply.GetTablesDelta()) > 0 {
		text = c.undelta(have, reply.GetTablesDelta())
	}
	if len(text) > 0 {
		o := revision.Offer{Revision: reply.GetRevision(), EditID: reply.GetEditId()}
		copy(o.Digest[:], reply.GetTablesSha256())
		c.setNoDelta(c.offer(o, text, to.Node) == revision.Unproved)
	}
	return reply, nil
}

// takesDelta reports whether a delta from revision have can be used.
func (c *source) takesDelta(have uint64) bool {
	_, kept := c.texts.get(have)
	c.mu.Lock()
	defer c.mu.Unlock()
	return kept && !c.noDelta
}

// undelta returns the text that a delta makes, or nil; the whole text is asked
// for then. That the text is the right one is judged by its digest.
func (c *source) undelta(have uint64, d []byte) []byte {
	kept, ok := c.texts.get(have)
	if !ok {
		return nil
	}
	text, err := delta.Apply(kept.tables.Text, d)
	if err != nil {
		c.setNoDelta(true)
		return nil
	}
	return text
}

func (c *source) setNoDelta(bad bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noDelta = bad
}

// offer judges tables from the platform or a peer and puts them in force when
// the start is over.
func (c *source) offer(o revision.Offer, text []byte, from string) revision.Decision {
	log := c.s.cfg.Log.With().Str("from", from).Uint64("revision", o.Revision).Logger()
	sum := sha256.Sum256(text)
	parsed, err := tables.Parse(tables.Source{Name: fmt.Sprintf("revision %d", o.Revision), Text: text})
	if err != nil {
		telemetry.Map(Name).Add("tables_unreadable", 1)
		log.Error().Err(err).Msg("tables can't be read")
		return revision.Unproved
	}
	parsed.Revision, parsed.EditID = o.Revision, o.EditID
	c.mu.Lock()
	verdict := c.machine.Offer(o, sum)
	if verdict == revision.Adopt {
		c.texts.add(offered{offer: o, tables: parsed})
	}
	c.mu.Unlock()
	telemetry.Map(Name).Add("offers_"+verdict.String(), 1)
	if verdict == revision.Conflict || verdict == revision.Unproved {
		log.Error().Str("verdict", verdict.String()).Msg("tables refused")
	}
	c.apply()
	return verdict
}

// apply puts the best revision in force once the start is over.
func (c *source) apply() {
	c.mu.Lock()
	o, ok := c.machine.InForce(time.Now())
	c.mu.Unlock()
	kept, known := c.texts.get(o.Revision)
	if !ok || !known {
		return
	}
	t := kept.tables
	if now := c.s.Current().Tables; now != nil && now.Revision >= t.Revision {
		return
	}
	if !c.s.putInForce(t) {
		return
	}
	c.s.vetoes.prune(c.s.Current().Tables)
	c.s.members.setRevision(t.Revision)
	c.s.publish()
	c.s.cfg.Log.Info().Uint64("revision", t.Revision).Str("edit", t.EditID).Msg("tables in force")
}

// tick looks for what became due: the end of the start, and a fetch from a
// peer that is ahead.
func (c *source) tick() {
	c.apply()
	c.mu.Lock()
	wait := fetchAfter
	if _, open := c.machine.InForce(time.Now()); !open {
		wait = 0
	}
	due := c.machine.Behind() && !c.fetching && c.ahead.Node != "" && time.Since(c.aheadSince) >= wait
	if due {
		c.fetching = true
	}
	to := c.ahead
	c.mu.Unlock()
	if due {
		go c.fetch(to)
	}
}

// fetch asks a peer that is ahead for its tables.
func (c *source) fetch(from membership.Member) {
	_, _ = c.poll(context.Background(), from, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = false
	if !c.machine.Behind() {
		c.ahead = membership.Member{}
	}
	c.aheadSince = time.Now()
}

// heard takes the revision that a peer has in force.
func (c *source) heard(from membership.Member, known int) {
	c.mu.Lock()
	c.machine.SetPeerCount(known)
	c.machine.ObservePeer(from.Node, from.Revision)
	if best, _ := c.machine.Newest(); from.Revision > best.Revision && from.ControlAddr != "" {
		if c.ahead.Node == "" {
			c.aheadSince = time.Now()
		}
		if from.Revision >= c.ahead.Revision {
			c.ahead = from
		}
	}
	starting := c.s.Current().Tables == nil
	c.mu.Unlock()
	if starting {
		c.tick()
	}
}

func (c *source) setPeers(known int) {
	c.mu.Lock()
	c.machine.SetPeerCount(known)
	c.alone = known == 0
	c.mu.Unlock()
	c.apply()
}

// isAlone reports whether the list of VMs names no other node.
func (c *source) isAlone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alone
}

func (c *source) best() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, _ := c.machine.Newest()
	return o.Revision
}

func (c *source) setUp(up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up = up
}

func (c *source) platformUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

func (c *source) setRelay(relay bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay = relay
}

func (c *source) isRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay
}

var _ fleetstate.Source = (*Service)(nil)
