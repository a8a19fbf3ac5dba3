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

// watchPlatform makes one long poll of the platform for the head of the tables and
// reads the text of a newer one. It reports whether the platform calls succeeded.
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
		*head = head.ResetWatch()
		ts.s.cfg.Log.Debug().Err(err).Msg("platform call failed")
		return false
	}
	*head = next
	return true
}

// reportConflict logs and counts an error if the platform's head has a different
// digest for the newest revision of this node, as it can after the platform has
// lost a write.
func (ts *tableSync) reportConflict(o revision.Offer) {
	ts.mu.Lock()
	newest, ok := ts.tracker.Newest()
	ts.mu.Unlock()
	if ok && o.Revision == newest.Revision && o.Digest != newest.Digest {
		telemetry.Map(Name).Add("offers_"+revision.Conflict.String(), 1)
		ts.s.cfg.Log.Error().Uint64("revision", o.Revision).Msg("platform has different contents for the newest revision of this node; apply a newer revision")
	}
}

// readText reads the text of a head from the platform and offers it.
func (ts *tableSync) readText(ctx context.Context, kv platform.KV, h tablestore.Head) error {
	text, err := tablestore.Store{KV: kv, Prefix: ts.s.cfg.Prefix}.Text(ctx, h, h.Revision)
	if err == nil {
		ts.offer(offerOfHead(h), text, "platform")
	}
	return err
}

// pollTableReaders requests revision r from the nodes that read tables for the
// whole fleet, so that the platform sends a text only to these. It returns false if
// this node has to read the text itself: it is one of these nodes, it has no older
// text to apply a delta to, or none of them had the revision in time.
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

// offerOfHead converts a head to an offer; an invalid checksum becomes a zero
// digest, which no text matches.
func offerOfHead(h tablestore.Head) revision.Offer {
	o := revision.Offer{Revision: h.Revision, EditID: h.EditID}
	if sum, err := hex.DecodeString(h.SHA256); err == nil && len(sum) == len(o.Digest) {
		copy(o.Digest[:], sum)
	}
	return o
}
