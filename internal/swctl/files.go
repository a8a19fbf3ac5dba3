package swctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// revisionLine matches the comment line with the revision that show writes before
// the tables. apply uses it as the base revision of the edit.
var revisionLine = regexp.MustCompile(`(?m)^; sapphirewall tables, revision (\d+)\n`)

// noBase means that no base revision is given.
const noBase = -1

// readFiles reads and parses the tables. It also returns the revision that the
// files are based on, or noBase.
func (a *app) readFiles(args []string) (*tables.Tables, int64, error) {
	if len(args) == 0 {
		return nil, 0, failf(ExitUsage, "name one file with both tables, or two files")
	}
	base := int64(noBase)
	var sources []tables.Source
	for _, name := range args {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, 0, failf(ExitFailed, "%v", err)
		}
		if m := revisionLine.FindSubmatch(text); m != nil {
			base, _ = strconv.ParseInt(string(m[1]), 10, 64)
		}
		sources = append(sources, tables.Source{Name: name, Text: text})
	}
	t, err := tables.Parse(sources...)
	if err != nil {
		return nil, 0, a.invalid(err)
	}
	t.Text = revisionLine.ReplaceAll(t.Text, nil)
	return t, base, nil
}

// validateOutput is the JSON output of validate.
type validateOutput struct {
	Valid    bool              `json:"valid"`
	Routes   int               `json:"routes"`
	Pools    int               `json:"pools"`
	Problems []inifile.Problem `json:"problems,omitempty"`
	Warnings []string          `json:"warnings,omitempty"`
}

// invalid prints the problems of the tables and returns the error with the exit
// code.
func (a *app) invalid(err error) error {
	if a.json {
		a.print(validateOutput{Problems: problemsOf(err)}, "")
	} else {
		_, _ = fmt.Fprintln(a.stderr, err)
	}
	return &exitError{code: ExitInvalid}
}

func (a *app) validateCommand() *ffcli.Command {
	return a.command("validate", "FILE...", "Check tables without changing anything.", `Needs no platform. All problems are named at once, with file, line and fix.

Examples:
  swctl validate tables.ini
  swctl validate --json routes.ini pools.ini`, a.validate)
}

func (a *app) validate(_ context.Context, args []string) error {
	t, _, err := a.readFiles(args)
	if err != nil {
		return err
	}
	v := validateOutput{Valid: true, Routes: len(t.Routes), Pools: len(t.Pools), Warnings: warnings(t)}
	text := fmt.Sprintf("valid: %d routes, %d pools\n", v.Routes, v.Pools)
	for _, w := range v.Warnings {
		text += "warning: " + w + "\n"
	}
	a.print(v, text)
	return nil
}

// warnings returns a warning for each pool with shards that would have no upstream
// for new requests. This is no error, since operators may intend it.
func warnings(t *tables.Tables) []string {
	var out []string
	for _, name := range sortedPools(t) {
		p := t.Pools[name]
		empty := 0
		for shard := range p.Shards {
			if !servesShard(t, p, shard) {
				empty++
			}
		}
		switch {
		case empty == p.Shards:
			out = append(out, fmt.Sprintf("pool %s has no upstream left for new work", name))
		case empty > 0:
			out = append(out, fmt.Sprintf("pool %s has no upstream left for %d of %d shards", name, empty, p.Shards))
		}
	}
	return out
}

func servesShard(t *tables.Tables, p *tables.Pool, shard int) bool {
	for _, u := range p.ByShard(shard) {
		if !u.Draining && !t.ZonesOutOfService[u.Zone] {
			return true
		}
	}
	return false
}

func sortedPools(t *tables.Tables) []string {
	var names []string
	for name := range t.Pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (a *app) showCommand() *ffcli.Command {
	return a.command("show", "", "Write the tables in the platform.", `The first line states the revision; apply refuses the edited file when another
edit has come in between.

Examples:
  swctl show > tables.ini`, a.show)
}

// showOutput is the JSON output of show.
type showOutput struct {
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id"`
	Text     string `json:"text"`
}

func (a *app) show(ctx context.Context, _ []string) error {
	client, store, _, err := a.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	head, text, err := store.Load(ctx)
	if err != nil {
		return failf(ExitFailed, "read the tables from the platform: %v", err)
	}
	if head.Revision == 0 {
		return failf(ExitFailed, "there are no tables yet; commit some with swctl apply")
	}
	a.print(showOutput{head.Revision, head.EditID, string(text)}, withRevisionLine(head.Revision, text))
	return nil
}

// withRevisionLine returns text after its revision line.
func withRevisionLine(revision uint64, text []byte) string {
	return fmt.Sprintf("; sapphirewall tables, revision %d\n%s", revision, bytes.TrimLeft(text, "\n"))
}

func (a *app) diffCommand() *ffcli.Command {
	return a.command("diff", "FILE...", "Show what applying the files would change.", `Examples:
  swctl diff tables.ini
  swctl diff --json routes.ini pools.ini`, a.diff)
}

// diffOutput is the JSON output of diff.
type diffOutput struct {
	Revision uint64          `json:"revision"`
	Changes  []tables.Change `json:"changes"`
	Warnings []string        `json:"warnings,omitempty"`
}

func (a *app) diff(ctx context.Context, args []string) error {
	t, _, err := a.readFiles(args)
	if err != nil {
		return err
	}
	client, store, _, err := a.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	head, cur, err := current(ctx, store)
	if err != nil {
		return err
	}
	d := diffOutput{Revision: head.Revision, Changes: tables.Diff(cur, t), Warnings: warnings(t)}
	text := fmt.Sprintf("revision %d, %d changes\n%s", d.Revision, len(d.Changes), lines("  ", d.Changes))
	for _, w := range d.Warnings {
		text += "warning: " + w + "\n"
	}
	a.print(d, text)
	return nil
}
