package tablestore

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// WatchHead waits up to wait for a head of a higher revision than have and
// returns it without reading the text, or have. It is for nodes that can get
// the text elsewhere. A service that was set back, so that its own revisions
// are lower than before, is read anew.
func WatchHead(ctx context.Context, kv platform.KV, prefix string, have Head, wait time.Duration) (Head, error) {
	changes, err := kv.Watch(ctx, prefix+HeadKey, have.kvRevision, wait)
	if err != nil {
		return have, err
	}
	if len(changes.Entries) == 0 {
		if changes.Revision < have.kvRevision {
			have = have.ResetWatch()
		}
		return have, nil
	}
	h, err := DecodeHead(changes.Entries[len(changes.Entries)-1])
	if err != nil {
		return have, err
	}
	if h.Revision <= have.Revision {
		have.kvRevision = h.kvRevision
		return have, nil
	}
	return h, nil
}

// ResetWatch returns h such that the next WatchHead reads the head without waiting
// for a change: after a failed call nobody knows what the service has become.
func (h Head) ResetWatch() Head {
	h.kvRevision = 0
	return h
}
