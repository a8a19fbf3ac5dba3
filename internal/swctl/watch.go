package swctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/rolloutstore"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
)

// watchWait is the maximum duration of one long poll, and watchRetryDelay the wait
// after a failed one.
const (
	watchWait       = 20 * time.Second
	watchRetryDelay = time.Second
)

// event is one line of the output of watch.
type event struct {
	Kind     string `json:"kind"` // kindTables or kindRollout
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Version  string `json:"version,omitempty"`
	Phase    string `json:"phase,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// String formats the event as one line of text.
func (e event) String() string {
	if e.Kind == kindTables {
		return fmt.Sprintf("tables: revision %d (edit %s)", e.Revision, e.EditID)
	}
	s := fmt.Sprintf("rollout of pool %s to %s: %s", e.Pool, e.Version, e.Phase)
	if e.Reason != "" {
		s += ", " + e.Reason
	}
	return s
}

// The kinds of events.
const (
	kindTables  = "tables"
	kindRollout = "rollout"
)

func (a *app) watchCommand() *ffcli.Command {
	var events int
	c := a.command("watch", "", "Follow new revisions and the outcomes of rollouts.", `Writes a line for each new revision and for each rollout that is done or taken
back, once each, beginning with what the platform holds. It goes on until
--timeout, --events or an interrupt; --timeout 0 means no end.

Examples:
  swctl watch --timeout 0
  swctl watch --json --events 1`, func(ctx context.Context, _ []string) error { return a.watch(ctx, events) })
	c.FlagSet.IntVar(&events, "events", 0, "end after so many lines; 0 means no end")
	return c
}

func (a *app) watch(ctx context.Context, limit int) error {
	client, _, s, err := a.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	if a.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.timeout)
		defer cancel()
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	events := make(chan event)
	go watchPrefix(ctx, client, s.Platform.Prefix+tablestore.HeadKey, tablesEvent, events)
	go watchPrefix(ctx, client, s.Platform.Prefix+rolloutstore.KeyPrefix, rolloutEvent, events)
	printed := map[event]bool{}
	for len(printed) < limit || limit == 0 {
		select {
		case e := <-events:
			if !printed[e] {
				printed[e] = true
				a.print(e, e.String()+"\n")
			}
		case <-ctx.Done():
			if limit > 0 && !errors.Is(context.Cause(ctx), context.Canceled) {
				return failf(ExitFailed, "only %d of %d events came in time", len(printed), limit)
			}
			return nil
		}
	}
	return nil
}

// watchPrefix sends an event for each change of the keys with the given prefix
// until ctx ends. Changes for which toEvent returns false are skipped.
func watchPrefix(ctx context.Context, kv platform.KV, prefix string, toEvent func(platform.Entry) (event, bool), out chan<- event) {
	var from uint64
	for ctx.Err() == nil {
		changes, err := kv.Watch(ctx, prefix, from, watchWait)
		if err != nil {
			select {
			case <-time.After(watchRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		from = nextRevision(from, changes)
		for _, entry := range changes.Entries {
			e, ok := toEvent(entry)
			if !ok {
				continue
			}
			select {
			case out <- e:
			case <-ctx.Done():
				return
			}
		}
	}
}

// nextRevision returns the revision from which the watch continues. The platform
// has a lower revision than before if its store was restored to an earlier state;
// then all keys are read again.
func nextRevision(from uint64, changes platform.Changes) uint64 {
	if changes.Revision < from {
		return 0
	}
	return changes.Revision
}

func tablesEvent(entry platform.Entry) (event, bool) {
	h, err := tablestore.DecodeHead(entry)
	return event{Kind: kindTables, Revision: h.Revision, EditID: h.EditID}, err == nil && !entry.Deleted
}

func rolloutEvent(entry platform.Entry) (event, bool) {
	if entry.Deleted {
		return event{}, false
	}
	r, err := rolloutstore.Decode(entry)
	if err != nil || r.Phase == rolloutstore.InProgress {
		return event{}, false
	}
	return event{Kind: kindRollout, Revision: r.Revision, Pool: r.Pool, Version: r.Version, Phase: string(r.Phase), Reason: r.Reason}, true
}
