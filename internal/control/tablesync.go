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
	longPollWait    = 10 * time.Second // long poll of the platform and of relays
	longPollSlack   = 2 * time.Second
	startupPeerWait = time.Second // wait for peers before the first platform call
	fetchDelay      = time.Second // behind for so long, a node asks who is ahead
	fetchSlack      = 500 * time.Millisecond
	// tableReaders is the number of relays that read texts for the fleet, and
	// readerWait how long the others wait for each of them.
	tableReaders    = 2
	tableReaderWait = 500 * time.Millisecond
	// shortPollTime is the time under which a watch without news counts as a
	// call that must be paced.
	shortPollTime = time.Second
)

// tableSync brings the tables: from the platform on a relay, from a relay of the
// zone on other nodes, and from any peer that is ahead.
type tableSync struct {
	s       *Service
	rng     *rand.Rand
	started time.Time
	texts   *textCache

	mu          sync.Mutex // guards the fields below
	tracker     *revision.Tracker
	deltaFailed bool // the last delta did not fit
	platformUp  bool // the platform answered the last call
	relay       bool
	aheadPeer   membership.Member // a peer that has a newer revision
	aheadSince  time.Time
	fetching    bool
	alone       bool // the list of VMs names no other node
}

func newTableSync(s *Service, rng *rand.Rand) *tableSync {
	now := time.Now()
	return &tableSync{s: s, rng: rng, started: now, tracker: revision.New(revision.DefaultConfig(), now), texts: newTextCache(), relay: true}
}

func (ts *tableSync) run(ctx context.Context) {
	platformPace := backoff.New(backoff.DefaultConfig(), ts.rng)
	peerPace := backoff.New(backoff.DefaultConfig(), ts.rng)
	var head tablestore.Head
	ts.waitForPeers(ctx)
	for ctx.Err() == nil {
		route := relay.SourceOf(ts.s.cfg.Node, ts.s.cfg.Zone, ts.s.members.relayCandidates(), ts.s.cfg.Relays)
		ts.setRelay(route.Platform)
		if route.Platform {
			ts.callPaced(ctx, platformPace, func() bool { return ts.watchPlatform(ctx, &head) })
			continue
		}
		turn := peerPace.Failures() % len(route.Relays)
		ts.callPaced(ctx, peerPace, func() bool { return ts.pollRelay(ctx, route.Relays[turn]) })
	}
}

// waitForPeers waits a little for peers, which save the platform the calls of
// nodes that start together.
func (ts *tableSync) waitForPeers(ctx context.Context) {
	for time.Since(ts.started) < startupPeerWait && !ts.isAlone() && len(ts.s.members.relayCandidates()) < 2 {
		if !sleepUntil(ctx, 0, time.Now().Add(startupPeerWait/20)) {
			return
		}
	}
}

// callPaced makes a call when its pace allows it.
func (ts *tableSync) callPaced(ctx context.Context, pace *backoff.Pacer, call func() bool) {
	if !sleepUntil(ctx, 0, pace.Next(time.Now())) {
		return
	}
	began := time.Now()
	pace.Called(began)
	ok := call()
	if ok && time.Since(began) >= shortPollTime {
		pace.Done(time.Now(), true)
		return
	}
	pace.Done(time.Now(), ok)
}

// pollRelay makes one long poll of a relay.
func (ts *tableSync) pollRelay(ctx context.Context, node string) bool {
	to, ok := ts.s.members.lookup(node)
	if !ok {
		return false
	}
	reply, err := ts.pollPeer(ctx, to, longPollWait)
	if err != nil {
		return false
	}
	ts.setPlatformUp(reply.GetPlatformUp())
	if reply.GetSignsHash() != drainingHash(ts.s.vmLister.drainingUpstreams()) {
		signs := map[string]bool{}
		for _, s := range reply.GetSigns() {
			signs[s.GetUpstream()] = s.GetLeaving()
		}
		ts.s.vmLister.setDraining(signs)
	}
	return true
}

// pollPeer asks a control for tables newer than this node's.
func (ts *tableSync) pollPeer(ctx context.Context, to membership.Member, wait time.Duration) (*swpb.FeedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+min(longPollSlack, max(wait, fetchSlack)))
	defer cancel()
	have := ts.newestRevision()
	req := &swpb.FeedRequest{
		HaveRevision: have, WaitUs: uint64(wait.Microseconds()),
		TablesOnly: true, HaveSigns: drainingHash(ts.s.vmLister.drainingUpstreams()), TakesDelta: ts.canApplyDelta(have),
	}
	env, err := ts.s.members.client(to.ControlAddr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_FeedRequest{FeedRequest: req}})
	if err != nil {
		return nil, err
	}
	reply := env.GetFeedReply()
	if reply == nil {
		return nil, peer.ErrBadFrame
	}
	text := reply.GetTables()
	if len(reply.GetTablesDelta()) > 0 {
		text = ts.applyDelta(have, reply.GetTablesDelta())
	}
	if len(text) > 0 {
		o := revision.Offer{Revision: reply.GetRevision(), EditID: reply.GetEditId()}
		copy(o.Digest[:], reply.GetTablesSha256())
		ts.setDeltaFailed(ts.offer(o, text, to.Node) == revision.Unproved)
	}
	return reply, nil
}

// canApplyDelta reports whether a delta from revision have can be used.
func (ts *tableSync) canApplyDelta(have uint64) bool {
	_, kept := ts.texts.get(have)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return kept && !ts.deltaFailed
}

// applyDelta returns the text that a delta makes, or nil; the whole text is asked
// for then. That the text is the right one is judged by its digest.
func (ts *tableSync) applyDelta(have uint64, d []byte) []byte {
	kept, ok := ts.texts.get(have)
	if !ok {
		return nil
	}
	text, err := delta.Apply(kept.tables.Text, d)
	if err != nil {
		ts.setDeltaFailed(true)
		return nil
	}
	return text
}

func (ts *tableSync) setDeltaFailed(bad bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.deltaFailed = bad
}

// offer judges tables from the platform or a peer and puts them in force when
// the start is over.
func (ts *tableSync) offer(o revision.Offer, text []byte, from string) revision.Decision {
	log := ts.s.cfg.Log.With().Str("from", from).Uint64("revision", o.Revision).Logger()
	sum := sha256.Sum256(text)
	parsed, err := tables.Parse(tables.Source{Name: fmt.Sprintf("revision %d", o.Revision), Text: text})
	if err != nil {
		telemetry.Map(Name).Add("tables_unreadable", 1)
		log.Error().Err(err).Msg("tables can't be read")
		return revision.Unproved
	}
	parsed.Revision, parsed.EditID = o.Revision, o.EditID
	ts.mu.Lock()
	verdict := ts.tracker.Offer(o, sum)
	if verdict == revision.Adopt {
		ts.texts.add(parsedText{offer: o, tables: parsed})
	}
	ts.mu.Unlock()
	telemetry.Map(Name).Add("offers_"+verdict.String(), 1)
	if verdict == revision.Conflict || verdict == revision.Unproved {
		log.Error().Str("verdict", verdict.String()).Msg("tables refused")
	}
	ts.applyNewest()
	return verdict
}

// applyNewest puts the best revision in force once the start is over.
func (ts *tableSync) applyNewest() {
	ts.mu.Lock()
	o, ok := ts.tracker.InForce(time.Now())
	ts.mu.Unlock()
	kept, known := ts.texts.get(o.Revision)
	if !ok || !known {
		return
	}
	t := kept.tables
	if now := ts.s.Current().Tables; now != nil && now.Revision >= t.Revision {
		return
	}
	if !ts.s.putInForce(t) {
		return
	}
	ts.s.vetoes.prune(ts.s.Current().Tables)
	ts.s.members.setRevision(t.Revision)
	ts.s.publish()
	ts.s.cfg.Log.Info().Uint64("revision", t.Revision).Str("edit", t.EditID).Msg("tables in force")
}

// tick looks for what became due: the end of the start, and a fetch from a
// peer that is ahead.
func (ts *tableSync) tick() {
	ts.applyNewest()
	ts.mu.Lock()
	wait := fetchDelay
	if _, open := ts.tracker.InForce(time.Now()); !open {
		wait = 0
	}
	due := ts.tracker.Behind() && !ts.fetching && ts.aheadPeer.Node != "" && time.Since(ts.aheadSince) >= wait
	if due {
		ts.fetching = true
	}
	to := ts.aheadPeer
	ts.mu.Unlock()
	if due {
		go ts.fetch(to)
	}
}

// fetch asks a peer that is ahead for its tables.
func (ts *tableSync) fetch(from membership.Member) {
	_, _ = ts.pollPeer(context.Background(), from, 0)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.fetching = false
	if !ts.tracker.Behind() {
		ts.aheadPeer = membership.Member{}
	}
	ts.aheadSince = time.Now()
}

// observePeer takes the revision that a peer has in force.
func (ts *tableSync) observePeer(from membership.Member, known int) {
	ts.mu.Lock()
	ts.tracker.SetPeerCount(known)
	ts.tracker.ObservePeer(from.Node, from.Revision)
	if best, _ := ts.tracker.Newest(); from.Revision > best.Revision && from.ControlAddr != "" {
		if ts.aheadPeer.Node == "" {
			ts.aheadSince = time.Now()
		}
		if from.Revision >= ts.aheadPeer.Revision {
			ts.aheadPeer = from
		}
	}
	starting := ts.s.Current().Tables == nil
	ts.mu.Unlock()
	if starting {
		ts.tick()
	}
}

func (ts *tableSync) setPeerCount(known int) {
	ts.mu.Lock()
	ts.tracker.SetPeerCount(known)
	ts.alone = known == 0
	ts.mu.Unlock()
	ts.applyNewest()
}

// isAlone reports whether the list of VMs names no other node.
func (ts *tableSync) isAlone() bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.alone
}

func (ts *tableSync) newestRevision() uint64 {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	o, _ := ts.tracker.Newest()
	return o.Revision
}

func (ts *tableSync) setPlatformUp(up bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.platformUp = up
}

func (ts *tableSync) isPlatformUp() bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.platformUp
}

func (ts *tableSync) setRelay(relay bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.relay = relay
}

func (ts *tableSync) isRelay() bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.relay
}

var _ fleetstate.Source = (*Service)(nil)
