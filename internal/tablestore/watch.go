package tablestore

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// WatchHead waits up to wait for a head with a higher revision than have and
// returns it without its text, or have if there is none. It is for nodes that
// can get the text elsewhere. If the store's own revision is lower than before,
// because the store was restored from older data, the returned head is reset so
// that the next call reads the head again.
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

// ResetWatch returns a copy of h with which the next WatchHead reads the head
// at once instead of waiting for a change. It is for use after a failed call,
// when the state of the store is unknown.
func (h Head) ResetWatch() Head {
	h.kvRevision = 0
	return h
}
