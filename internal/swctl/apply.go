package swctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
)

// applyFlags holds the values of the flags of apply.
type applyFlags struct {
	wait   bool
	editID string
	base   int64
	accept bool
}

func (a *app) applyCommand() *ffcli.Command {
	var f applyFlags
	c := a.command("apply", "FILE...", "Commit tables as one new revision.", `Both tables are checked together and committed as one revision. The edit must
be based on the revision in the platform: the revision that 'swctl show' wrote
into the file, or --base; without either, the revision at the start of the
command. The loser of two edits gets a conflict with what the other changed.

'accepted' is only said when it is true, also when the platform's reply was
lost. When that can't be found out in time, the exit code is 6: run the same
command again with the printed --edit-id.

Examples:
  swctl apply tables.ini
  swctl apply --wait routes.ini pools.ini
  swctl apply --base 12 --edit-id new-lookup-pool tables.ini`, func(ctx context.Context, args []string) error { return a.apply(ctx, f, args) })
	c.FlagSet.BoolVar(&f.wait, "wait", false, "wait until every node that can be reached has the revision in force")
	c.FlagSet.StringVar(&f.editID, "edit-id", "", "name of the edit; a repeated one is committed once")
	c.FlagSet.Int64Var(&f.base, "base", noBase, "revision that the edit is based on")
	c.FlagSet.BoolVar(&f.accept, "accept-warnings", false, "commit also when a pool would be left without upstreams")
	return c
}

// applyOutput is the JSON output of apply.
type applyOutput struct {
	Accepted    bool            `json:"accepted"`
	Revision    uint64          `json:"revision,omitempty"`
	EditID      string          `json:"edit_id"`
	Changes     []tables.Change `json:"changes,omitempty"`
	Warnings    []string        `json:"warnings,omitempty"`
	Conflict    *conflict       `json:"conflict,omitempty"`
	Unknown     bool            `json:"unknown,omitempty"`
	Error       string          `json:"error,omitempty"`
	InForce     *bool           `json:"in_force,omitempty"`
	NotInForce  []nodeStatus    `json:"not_in_force,omitempty"`
	WaitedMilli int64           `json:"waited_ms,omitempty"`
}

// conflict describes the edit that was committed first when an apply is refused
// with a conflict.
type conflict struct {
	Base     uint64          `json:"base"`
	Revision uint64          `json:"revision"`
	EditID   string          `json:"edit_id"`
	Theirs   []tables.Change `json:"theirs"` // changes from the base to the current revision, if the base is still stored
	Yours    []tables.Change `json:"yours"`  // changes that the given files would make to the current revision
}

func (a *app) apply(ctx context.Context, f applyFlags, args []string) error {
	t, fileBase, err := a.readFiles(args)
	if err != nil {
		return err
	}
	client, store, s, err := a.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	if f.editID == "" {
		f.editID = "edit-" + strings.ToLower(rand.Text()[:12])
	}
	out := applyOutput{EditID: f.editID, Warnings: warnings(t)}
	if err := a.refuseWarnings(&out, f.accept); err != nil {
		return err
	}
	head, cur, err := current(ctx, store)
	if err != nil {
		return err
	}
	store.Floor = a.highestInForce(ctx, client, s)
	out.Changes = tables.Diff(cur, t)
	_, known := head.FindEdit(f.editID)
	if cur != nil && len(out.Changes) == 0 && !known && store.Floor <= head.Revision {
		out.Accepted, out.Revision = true, head.Revision
		a.print(out, fmt.Sprintf("nothing to change: revision %d is the same\n", head.Revision))
		return a.waitInForce(ctx, client, s, f, out)
	}
	base := chooseBase(f.base, fileBase, head.Revision)
	if !a.json {
		_, _ = fmt.Fprintf(a.stderr, "committing on revision %d with --edit-id %s\n", base, f.editID)
	}
	if store.Floor > head.Revision {
		_, _ = fmt.Fprintf(a.stderr, "the platform was set back: it has revision %d, nodes have %d in force; committing above that\n", head.Revision, store.Floor)
	}
	committed, err := store.Commit(ctx, base, t.Text, f.editID)
	if err != nil {
		return a.reportFailure(ctx, store, out, t, err)
	}
	out.Accepted, out.Revision = true, committed.Revision
	if !f.wait || !a.json {
		a.print(out, fmt.Sprintf("accepted: revision %d (edit %s), %d changes\n%s", out.Revision, out.EditID, len(out.Changes), lines("  ", out.Changes)))
	}
	return a.waitInForce(ctx, client, s, f, out)
}

// inForceTimeout limits the time for reading the revision in force from the nodes
// before a commit.
const inForceTimeout = 2 * time.Second

// highestInForce returns the highest revision that any node has in force, or 0 if
// no node answers.
func (a *app) highestInForce(ctx context.Context, client *platform.Client, s settingsRef) uint64 {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	poller, err := a.newPoller(ctx, client, s)
	if err != nil {
		return 0
	}
	defer poller.close()
	return poller.poll(ctx).Revision
}

// chooseBase returns the base revision of an edit: from the flag, else from the
// revision line in the file, else the revision just read from the platform.
func chooseBase(flagBase, fileBase int64, now uint64) uint64 {
	switch {
	case flagBase != noBase:
		return uint64(flagBase)
	case fileBase != noBase:
		return uint64(fileBase)
	default:
		return now
	}
}

func (a *app) refuseWarnings(out *applyOutput, accept bool) error {
	for _, w := range out.Warnings {
		_, _ = fmt.Fprintln(a.stderr, "warning: "+w)
	}
	if len(out.Warnings) == 0 || accept {
		return nil
	}
	if a.json {
		a.print(out, "")
	}
	return failf(ExitWarnings, "not committed; --accept-warnings commits nevertheless")
}

// reportFailure prints why an edit was not accepted, or that its outcome is
// unknown, and returns the error with the exit code.
func (a *app) reportFailure(ctx context.Context, store tablestore.Store, out applyOutput, yours *tables.Tables, err error) error {
	out.Error = err.Error()
	var conflictErr *tablestore.ConflictError
	switch {
	case errors.As(err, &conflictErr):
		out.Conflict = describeConflict(ctx, store, conflictErr, yours)
		a.print(out, conflictText(out.Conflict))
		return &exitError{code: ExitConflict}
	case errors.Is(err, tablestore.ErrOutcomeUnknown), errors.Is(err, tablestore.ErrBaseTooOld):
		out.Unknown = true
		a.print(out, fmt.Sprintf("unknown: the platform does not say whether the edit was accepted (%v)\nrun the same command again with --edit-id %s\n", err, out.EditID))
		return &exitError{code: ExitUnknown}
	default:
		a.print(out, fmt.Sprintf("failed, this run changed nothing: %v\n", err))
		return &exitError{code: ExitFailed}
	}
}

func describeConflict(ctx context.Context, store tablestore.Store, conflictErr *tablestore.ConflictError, yours *tables.Tables) *conflict {
	c := &conflict{Base: conflictErr.Base, Revision: conflictErr.Current.Revision, EditID: conflictErr.Current.EditID}
	current := parseRevision(ctx, store, conflictErr.Current, conflictErr.Current.Revision)
	if current == nil {
		return c
	}
	c.Yours = tables.Diff(current, yours)
	if base := parseRevision(ctx, store, conflictErr.Current, conflictErr.Base); base != nil || conflictErr.Base == 0 {
		c.Theirs = tables.Diff(base, current)
	}
	return c
}

// parseRevision returns the tables of a revision, or nil if head no longer names
// it or the tables can't be read.
func parseRevision(ctx context.Context, store tablestore.Store, head tablestore.Head, revision uint64) *tables.Tables {
	text, err := store.Text(ctx, head, revision)
	if err != nil {
		return nil
	}
	t, err := tables.Parse(tables.Source{Name: "platform", Text: text})
	if err != nil {
		return nil
	}
	return t
}

func conflictText(c *conflict) string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: not accepted, nothing was changed\nyour edit is based on revision %d; revision %d (edit %s) came first\n", c.Base, c.Revision, c.EditID)
	if len(c.Theirs) > 0 {
		fmt.Fprintf(&b, "since your base it changed:\n%s", lines("  ", c.Theirs))
	}
	fmt.Fprintf(&b, "your files would now change:\n%s", lines("  ", c.Yours))
	fmt.Fprintf(&b, "take the other change into your files and apply with --base %d\n", c.Revision)
	return b.String()
}

// statusPollInterval is the time between two polls of the nodes.
const statusPollInterval = 200 * time.Millisecond

// waitInForce waits until every reachable node has the revision in force. Without
// --wait it returns at once.
func (a *app) waitInForce(ctx context.Context, client *platform.Client, s settingsRef, f applyFlags, out applyOutput) error {
	if !f.wait {
		return nil
	}
	begin := time.Now()
	poller, err := a.newPoller(ctx, client, s)
	if err != nil {
		return err
	}
	defer poller.close()
	var lagging []nodeStatus
	for {
		r := poller.poll(ctx)
		// A poll interrupted by the end of ctx has no result for the nodes that did
		// not answer before, so its result is not used.
		complete := ctx.Err() == nil
		if complete {
			lagging = r.lagging(out.Revision)
		}
		inForce := complete && len(lagging) == 0 && r.answered() > 0
		if inForce || !complete {
			out.InForce, out.NotInForce = &inForce, lagging
			out.WaitedMilli = time.Since(begin).Milliseconds()
			a.print(out, waitText(out, inForce))
			if inForce {
				return nil
			}
			return &exitError{code: ExitNotInForce}
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
		}
	}
}

func waitText(out applyOutput, inForce bool) string {
	if inForce {
		return fmt.Sprintf("in force: revision %d on every node after %d ms\n", out.Revision, out.WaitedMilli)
	}
	return fmt.Sprintf("accepted, but after %d ms revision %d is not in force on:\n%s", out.WaitedMilli, out.Revision, lines("  ", out.NotInForce))
}
