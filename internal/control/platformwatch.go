package control

import (
	"context"
	"encoding/hex"

	"github.com/sapphirewall/sapphirewall/internal/decide/relay"
	"github.com/sapphirewall/sapphirewall/internal/decide/revision"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// watchPlatform makes one long poll of the platform's head and gets the text of a new
// one.
func (ts *tableSync) watchPlatform(ctx context.Context, head *tablestore.Head) bool {
	watchCtx, cancel := context.WithTimeout(ctx, longPollWait+longPollSlack)
	defer cancel()
	kv := ts.s.platform.KV()
	next, err := tablestore.WatchHead(watchCtx, kv, ts.s.cfg.Prefix, *head, longPollWait)
	ts.reportConflict(offerOfHead(next))
	if err == nil && next.Revision > ts.newestRevision() && !ts.pollTableReaders(ctx, next.Revision) {
		err = ts.readText(watchCtx, kv, next)
	}
	ts.setPlatformUp(err == nil)
	if err != nil {
		telemetry.Map(Name).Add("platform_failures", 1)
		*head = head.Reread()
		ts.s.cfg.Log.Debug().Err(err).Msg("platform call failed")
		return false
	}
	*head = next
	return true
}

// reportConflict raises an alarm when the platform names other contents for the
// revision that this node has, which takes a platform that lost a write.
func (ts *tableSync) reportConflict(o revision.Offer) {
	ts.mu.Lock()
	best, ok := ts.tracker.Newest()
	ts.mu.Unlock()
	if ok && o.Revision == best.Revision && o.Digest != best.Digest {
		telemetry.Map(Name).Add("offers_"+revision.Conflict.String(), 1)
		ts.s.cfg.Log.Error().Uint64("revision", o.Revision).Msg("platform has other contents for the revision in force; apply a newer one")
	}
}

func (ts *tableSync) readText(ctx context.Context, kv platform.KV, h tablestore.Head) error {
	text, err := tablestore.Store{KV: kv, Prefix: ts.s.cfg.Prefix}.Text(ctx, h, h.Revision)
	if err == nil {
		ts.offer(offerOfHead(h), text, "platform")
	}
	return err
}

// pollTableReaders gets the tables from the nodes that read them for the fleet. It
// returns false where this node is one of them, has no older text, or got
// nothing in time.
func (ts *tableSync) pollTableReaders(ctx context.Context, r uint64) bool {
	if ts.newestRevision() == 0 {
		return false
	}
	for _, node := range relay.TableReaders(ts.s.members.relayCandidates(), ts.s.cfg.Relays, tableReaders) {
		to, ok := ts.s.members.lookup(node)
		if !ok {
			return false
		}
		if _, err := ts.pollPeer(ctx, to, tableReaderWait); err == nil && ts.newestRevision() >= r {
			return true
		}
	}
	return false
}

// offerOfHead makes an offer of the platform's head.
func offerOfHead(h tablestore.Head) revision.Offer {
	o := revision.Offer{Revision: h.Revision, EditID: h.EditID}
	if sum, err := hex.DecodeString(h.SHA256); err == nil && len(sum) == len(o.Digest) {
		copy(o.Digest[:], sum)
	}
	return o
}
