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

// Waits and timeouts of the table synchronisation.
const (
	longPollWait    = 10 * time.Second       // long poll of the platform and of relays
	longPollSlack   = 2 * time.Second        // longest time by which a poll's timeout exceeds its wait
	startupPeerWait = time.Second            // wait for peers before the first platform call
	fetchDelay      = time.Second            // a node behind a peer for so long fetches from it
	fetchSlack      = 500 * time.Millisecond // shortest time by which the timeout of a poll of a peer exceeds its wait
	// tableReaders is the number of relays that read the text of new tables
	// from the platform for the whole fleet, and tableReaderWait the time that
	// the other relays wait for each of them.
	tableReaders    = 2
	tableReaderWait = 500 * time.Millisecond
	// shortPollTime is the duration below which a long poll without a change
	// counts as a call whose rate must be limited.
	shortPollTime = time.Second
)

// tableSync keeps the tables of this node up to date. A relay reads them from
// the platform, any other node from a relay of its availability zone. Both also
// fetch them from a peer that has reported a newer revision.
type tableSync struct {
	s       *Service
	rng     *rand.Rand
	started time.Time
	texts   *textCache

	mu          sync.Mutex // guards the fields below
	tracker     *revision.Tracker
	deltaFailed bool // the last delta or text was invalid; request whole texts
	platformUp  bool // the last platform call succeeded, here or at the polled relay
	relay       bool
	aheadPeer   membership.Member // a peer with a newer revision; zero if none
	aheadSince  time.Time
	fetching    bool
	alone       bool // the list of VMs contains no other node
}

func newTableSync(s *Service, rng *rand.Rand) *tableSync {
	now := time.Now()
	return &tableSync{s: s, rng: rng, started: now, tracker: revision.New(revision.DefaultConfig(), now), texts: newTextCache(), relay: true}
}

func (ts *tableSync) run(ctx context.Context) {
	platformPacer := backoff.New(backoff.DefaultConfig(), ts.rng)
	relayPacer := backoff.New(backoff.DefaultConfig(), ts.rng)
	var head tablestore.Head
	ts.waitForPeers(ctx)
	for ctx.Err() == nil {
		source := relay.SourceOf(ts.s.cfg.Node, ts.s.cfg.Zone, ts.s.members.relayCandidates(), ts.s.cfg.Relays)
		ts.setRelay(source.Platform)
		if source.Platform {
			ts.callPaced(ctx, platformPacer, func() bool { return ts.watchPlatform(ctx, &head) })
			continue
		}
		i := relayPacer.Failures() % len(source.Relays)
		ts.callPaced(ctx, relayPacer, func() bool { return ts.pollRelay(ctx, source.Relays[i]) })
	}
}

// waitForPeers waits up to startupPeerWait until a peer is known or the list of VMs
// shows that there is none. Nodes that start together then read from their relays
// and don't all call the platform.
func (ts *tableSync) waitForPeers(ctx context.Context) {
	for time.Since(ts.started) < startupPeerWait && !ts.isAlone() && len(ts.s.members.relayCandidates()) < 2 {
		if !sleepUntil(ctx, 0, time.Now().Add(startupPeerWait/20)) {
			return
		}
	}
}

// callPaced makes a call at the next time that the pacer allows.
func (ts *tableSync) callPaced(ctx context.Context, pacer *backoff.Pacer, call func() bool) {
	if !sleepUntil(ctx, 0, pacer.Next(time.Now())) {
		return
	}
	start := time.Now()
	pacer.Called(start)
	ok := call()
	if ok && time.Since(start) >= shortPollTime {
		pacer.Done(time.Now(), true)
		return
	}
	pacer.Done(time.Now(), ok)
}

// pollRelay makes one long poll of a relay and reports whether it succeeded.
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
		draining := map[string]bool{}
		for _, s := range reply.GetSigns() {
			draining[s.GetUpstream()] = s.GetLeaving()
		}
		ts.s.vmLister.setDraining(draining)
	}
	return true
}

// pollPeer requests tables newer than those of this node from the control
// process of a peer, which may answer up to wait later.
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

// applyDelta returns the text that results from a delta, or nil if the delta
// can't be applied; the next poll then requests the whole text. The caller checks
// the text by its digest.
func (ts *tableSync) applyDelta(have uint64, d []byte) []byte {
	kept, ok := ts.texts.get(have)
	if !ok {
		return nil
	}
	text, err := delta.Apply(kept.tables.Text, d, delta.Lines)
	if err != nil {
		ts.setDeltaFailed(true)
		return nil
	}
	return text
}

func (ts *tableSync) setDeltaFailed(failed bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.deltaFailed = failed
}

// offer checks tables from the platform or a peer, keeps them if they are the
// newest, and puts them in force once the startup is complete.
func (ts *tableSync) offer(o revision.Offer, text []byte, from string) revision.Decision {
	log := ts.s.cfg.Log.With().Str("from", from).Uint64("revision", o.Revision).Logger()
	sum := sha256.Sum256(text)
	parsed, err := tables.Parse(tables.Source{Name: fmt.Sprintf("revision %d", o.Revision), Text: text})
	if err != nil {
		telemetry.Map(Name).Add("tables_unreadable", 1)
		log.Error().Err(err).Msg("tables invalid; not used")
		return revision.Unproved
	}
	parsed.Revision, parsed.EditID = o.Revision, o.EditID
	ts.mu.Lock()
	decision := ts.tracker.Offer(o, sum)
	if decision == revision.Adopt {
		ts.texts.add(parsedText{offer: o, tables: parsed})
	}
	ts.mu.Unlock()
	telemetry.Map(Name).Add("offers_"+decision.String(), 1)
	if decision == revision.Conflict || decision == revision.Unproved {
		log.Error().Str("verdict", decision.String()).Msg("tables not adopted")
	}
	ts.applyNewest()
	return decision
}

// applyNewest puts the newest verified revision in force once the startup is
// complete.
func (ts *tableSync) applyNewest() {
	ts.mu.Lock()
	o, ok := ts.tracker.InForce(time.Now())
	ts.mu.Unlock()
	kept, found := ts.texts.get(o.Revision)
	if !ok || !found {
		return
	}
	t := kept.tables
	if current := ts.s.Current().Tables; current != nil && current.Revision >= t.Revision {
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

// tick puts tables in force if the startup is complete by now, and starts a fetch
// if a peer has been ahead for fetchDelay, or at all while the node is starting.
func (ts *tableSync) tick() {
	ts.applyNewest()
	ts.mu.Lock()
	wait := fetchDelay
	if _, ok := ts.tracker.InForce(time.Now()); !ok {
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

// fetch requests the tables of a peer that is ahead.
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

// observePeer records the revision that a peer has in force, and the number of
// other nodes.
func (ts *tableSync) observePeer(from membership.Member, others int) {
	ts.mu.Lock()
	ts.tracker.SetPeerCount(others)
	ts.tracker.ObservePeer(from.Node, from.Revision)
	if newest, _ := ts.tracker.Newest(); from.Revision > newest.Revision && from.ControlAddr != "" {
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

// setPeerCount records the number of other nodes after a list of VMs was read.
func (ts *tableSync) setPeerCount(others int) {
	ts.mu.Lock()
	ts.tracker.SetPeerCount(others)
	ts.alone = others == 0
	ts.mu.Unlock()
	ts.applyNewest()
}

// isAlone reports whether the last list of VMs contained no other node.
func (ts *tableSync) isAlone() bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.alone
}

// newestRevision returns the newest verified revision, 0 for none.
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
