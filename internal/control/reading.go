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

// watch makes one long poll of the platform's head and gets the text of a new
// one.
func (c *source) watch(ctx context.Context, head *tablestore.Head) bool {
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	kv := c.s.platform.KV()
	next, err := tablestore.WatchHead(watchCtx, kv, c.s.cfg.Prefix, *head, watchWait)
	c.noteConflict(offerOf(next))
	if err == nil && next.Revision > c.best() && !c.askReaders(ctx, next.Revision) {
		err = c.readText(watchCtx, kv, next)
	}
	c.setUp(err == nil)
	if err != nil {
		telemetry.Map(Name).Add("platform_failures", 1)
		*head = head.ResetWatch()
		c.s.cfg.Log.Debug().Err(err).Msg("platform call failed")
		return false
	}
	*head = next
	return true
}

// noteConflict raises an alarm when the platform names other contents for the
// revision that this node has, which takes a platform that lost a write.
func (c *source) noteConflict(o revision.Offer) {
	c.mu.Lock()
	best, ok := c.machine.Newest()
	c.mu.Unlock()
	if ok && o.Revision == best.Revision && o.Digest != best.Digest {
		telemetry.Map(Name).Add("offers_"+revision.Conflict.String(), 1)
		c.s.cfg.Log.Error().Uint64("revision", o.Revision).Msg("platform has other contents for the revision in force; apply a newer one")
	}
}

func (c *source) readText(ctx context.Context, kv platform.KV, h tablestore.Head) error {
	text, err := tablestore.Store{KV: kv, Prefix: c.s.cfg.Prefix}.Text(ctx, h, h.Revision)
	if err == nil {
		c.offer(offerOf(h), text, "platform")
	}
	return err
}

// askReaders gets the tables from the nodes that read them for the fleet. It
// returns false where this node is one of them, has no older text, or got
// nothing in time.
func (c *source) askReaders(ctx context.Context, r uint64) bool {
	if c.best() == 0 {
		return false
	}
	for _, node := range relay.TableReaders(c.s.members.candidates(), c.s.cfg.Relays, readers) {
		to, ok := c.s.members.lookup(node)
		if !ok {
			return false
		}
		if _, err := c.poll(ctx, to, readerWait); err == nil && c.best() >= r {
			return true
		}
	}
	return false
}

// offerOf makes an offer of the platform's head.
func offerOf(h tablestore.Head) revision.Offer {
	o := revision.Offer{Revision: h.Revision, EditID: h.EditID}
	if sum, err := hex.DecodeString(h.SHA256); err == nil && len(sum) == len(o.Digest) {
		copy(o.Digest[:], sum)
	}
	return o
}
