package swctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
)

// The exit codes of swctl.
const (
	ExitOK         = 0
	ExitFailed     = 1 // failed, nothing was changed
	ExitUsage      = 2
	ExitSettings   = 3
	ExitInvalid    = 4 // the tables have problems
	ExitConflict   = 5 // another edit came first, nothing was changed
	ExitUnknown    = 6 // outcome of the edit unknown
	ExitNotInForce = 7 // accepted, but not in force everywhere in time
	ExitWarnings   = 8 // refused because of warnings, nothing was changed
)

const exitCodesHelp = `
Exit codes:
  0  done
  1  failed; nothing was changed
  2  wrong flags or arguments
  3  wrong settings file
  4  the tables have problems
  5  conflict: another edit came first; nothing was changed
  6  not known whether the edit was accepted; run the same command again with
     the --edit-id that it printed
  7  accepted, but not in force on every node in time
  8  refused because of warnings; nothing was changed`

// exitError ends the program with an exit code. Its message is empty if the
// command has already printed the reason.
type exitError struct {
	code int
	msg  string
}

// Error implements error.
func (e *exitError) Error() string { return e.msg }

func failf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// app holds the output writers and the values of the flags that all commands
// share.
type app struct {
	stdout, stderr io.Writer

	config  string
	kv      string
	vms     string
	prefix  string
	fleet   string
	control string
	json    bool
	timeout time.Duration
}

// The default of --timeout and the timeout of platform calls.
const (
	defaultTimeout  = 30 * time.Second
	platformTimeout = 2 * time.Second // of one call to the platform
)

// Run runs swctl with the given arguments, without the program name, and returns
// the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, stderr: stderr}
	root := a.root()
	err := root.ParseAndRun(ctx, args)
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	case errors.As(err, &exit):
		if exit.msg != "" {
			_, _ = fmt.Fprintln(stderr, "swctl: "+exit.msg)
		}
		return exit.code
	default:
		_, _ = fmt.Fprintln(stderr, "swctl:", err)
		return ExitUsage
	}
}

func (a *app) root() *ffcli.Command {
	fs := flag.NewFlagSet("swctl", flag.ContinueOnError)
	fs.SetOutput(a.stderr)
	return &ffcli.Command{
		Name:       "swctl",
		ShortUsage: "swctl COMMAND [flags] [FILE...]",
		ShortHelp:  "Check, commit and follow the tables of sapphirewall.",
		LongHelp: `Check, commit and follow the tables of sapphirewall.

Examples:
  swctl validate routes.ini pools.ini
  swctl show > tables.ini
  swctl diff tables.ini
  swctl apply --wait tables.ini
  swctl status
  swctl watch

The platform's addresses come from --config (a settings file), --kv and --vms,
or the environment (SAPPHIREWALL_KV and so on).
` + exitCodesHelp,
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			a.validateCommand(), a.applyCommand(), a.showCommand(), a.diffCommand(), a.statusCommand(), a.watchCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// command returns a command with the common flags.
func (a *app) command(name, usage, short, long string, exec func(context.Context, []string) error) *ffcli.Command {
	fs := flag.NewFlagSet("swctl "+name, flag.ContinueOnError)
	fs.SetOutput(a.stderr)
	fs.StringVar(&a.config, "config", "", "settings file with the platform's addresses, prefix and fleet")
	fs.StringVar(&a.kv, "kv", "", "address of the key-value service, IP:port; overrides the settings")
	fs.StringVar(&a.vms, "vms", "", "address of the list of VMs, IP:port; overrides the settings")
	fs.StringVar(&a.prefix, "prefix", "", "prefix of the fleet's keys; overrides the settings")
	fs.StringVar(&a.fleet, "fleet", "", "name of the fleet; overrides the settings")
	fs.StringVar(&a.control, "control", "", "addresses of control processes, comma-separated, in place of the list of VMs")
	fs.BoolVar(&a.json, "json", false, "write JSON")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "time that the command may take")
	return &ffcli.Command{
		Name: name, ShortUsage: "swctl " + name + " [flags] " + usage, ShortHelp: short,
		LongHelp: short + "\n\n" + long + "\n" + exitCodesHelp,
		FlagSet:  fs,
		Options:  []ff.Option{ff.WithEnvVarPrefix("SAPPHIREWALL")},
		Exec:     exec,
	}
}

// settings loads the settings file, if given, and overrides its values by the
// flags.
func (a *app) settings() (*settings.Settings, error) {
	s := settings.Default()
	if a.config != "" {
		var err error
		if s, err = settings.Load(a.config); err != nil {
			return nil, failf(ExitSettings, "%v", err)
		}
	}
	for _, o := range []struct {
		dst *string
		v   string
	}{{&s.Platform.KV, a.kv}, {&s.Platform.VMs, a.vms}, {&s.Platform.Prefix, a.prefix}, {&s.Node.Fleet, a.fleet}} {
		if o.v != "" {
			*o.dst = o.v
		}
	}
	return s, nil
}

// connect returns a client of the platform, its store of tables and the settings.
func (a *app) connect() (*platform.Client, tablestore.Store, *settings.Settings, error) {
	s, err := a.settings()
	if err != nil {
		return nil, tablestore.Store{}, nil, err
	}
	c := platform.NewClient(s.Platform.KV, s.Platform.VMs, platformTimeout)
	return c, tablestore.Store{KV: c, Prefix: s.Platform.Prefix}, s, nil
}

// current loads and parses the current tables of the platform. The tables are nil
// if none have been committed yet.
func current(ctx context.Context, store tablestore.Store) (tablestore.Head, *tables.Tables, error) {
	head, text, err := store.Load(ctx)
	if err != nil {
		return head, nil, failf(ExitFailed, "read the tables from the platform: %v", err)
	}
	if head.Revision == 0 {
		return head, nil, nil
	}
	t, err := tables.Parse(tables.Source{Name: fmt.Sprintf("revision %d", head.Revision), Text: text})
	if err != nil {
		return head, nil, failf(ExitFailed, "the platform's tables have problems:\n%v", err)
	}
	t.Revision, t.EditID = head.Revision, head.EditID
	return head, t, nil
}

// print writes v as JSON with --json, otherwise text.
func (a *app) print(v any, text string) {
	if !a.json {
		_, _ = io.WriteString(a.stdout, text)
		return
	}
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintln(a.stdout, string(b))
}

// problemsOf returns the problems inside err.
func problemsOf(err error) []inifile.Problem {
	var list *inifile.Error
	if errors.As(err, &list) {
		return list.Problems
	}
	return []inifile.Problem{{Message: err.Error()}}
}

// lines formats each item as one line.
func lines[T fmt.Stringer](indent string, items []T) string {
	var b strings.Builder
	for _, it := range items {
		b.WriteString(indent + it.String() + "\n")
	}
	return b.String()
}
