package launch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/adminhttp"
	"github.com/sapphirewall/sapphirewall/internal/inifile"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/peertls"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// Exit codes of all binaries.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Env holds what a binary's services are built from.
type Env struct {
	Settings *settings.Settings
	Log      zerolog.Logger
	Tracer   *telemetry.Tracer
	Kernel   *kernel.Kernel
	// Dial opens connections to other processes; nil means plain TCP.
	Dial peer.DialFunc
	// WrapListener wraps the listeners for other processes; nil means plain TCP.
	WrapListener func(net.Listener) net.Listener
}

// Listen opens a listener for connections from other processes.
func (e *Env) Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err == nil && e.WrapListener != nil {
		ln = e.WrapListener(ln)
	}
	return ln, err
}

// EnableTLS enables mutual TLS for sessions with other processes, if the settings
// name TLS files.
func (e *Env) EnableTLS() error {
	creds, err := peertls.Load(e.Settings.TLS, e.Settings.Node.Fleet)
	if err != nil || creds == nil {
		return err
	}
	e.Dial, e.WrapListener = creds.Dialer(e.Dial), creds.Listener
	return nil
}

// Program describes a binary that runs services until it receives SIGTERM or
// SIGINT.
type Program struct {
	Name     string
	Short    string
	Examples string
	Admin    func(*settings.Settings) string // address of the admin service
	// Register adds the program's services to env.Kernel.
	Register func(env *Env) error
	// LogToStdout writes the logs to standard output without blocking.
	LogToStdout bool
	// Reload is called with the settings reread on SIGHUP; if it is nil, the
	// program does not handle SIGHUP.
	Reload func(env *Env, s *settings.Settings)
}

// Main runs the program with the arguments of the process and returns the
// exit code.
func (p Program) Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return p.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run is like Main, but takes the arguments and output streams as parameters and
// runs until ctx ends.
func (p Program) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	config := fs.String("config", "", "settings file; without it the defaults are used")
	level := fs.String("log-level", "", "debug, info, warn or error; overrides [log] level")
	format := fs.String("log-format", "", "json or console; overrides [log] format")
	printConfig := fs.Bool("print-config", false, "write the commented default settings and exit")
	version := fs.Bool("version", false, "print the version and exit")
	usage := &ffcli.Command{
		Name: p.Name, ShortUsage: p.Name + " [flags]", ShortHelp: p.Short,
		LongHelp: p.Short + "\n\nExamples:\n" + p.Examples, FlagSet: fs,
	}
	fs.Usage = func() { _, _ = fmt.Fprintln(stderr, ffcli.DefaultUsageFunc(usage)) }
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SAPPHIREWALL")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch {
	case *version:
		_, _ = fmt.Fprintln(stdout, p.Name, Version())
		return ExitOK
	case *printConfig:
		if err := settings.WriteDefault(stdout); err != nil {
			return ExitFailed
		}
		return ExitOK
	}
	s, err := load(*config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	override(&s.Log.Level, *level)
	override(&s.Log.Format, *format)
	logs := stderr
	if p.LogToStdout {
		async := telemetry.NewAsyncWriter(stdout)
		defer async.Close()
		logs = async
	}
	return p.serve(ctx, s, *config, logs)
}

func (p Program) serve(ctx context.Context, s *settings.Settings, config string, stderr io.Writer) int {
	log, err := telemetry.NewLogger(stderr, s.Log.Level, s.Log.Format, p.Name, s.Node.ID)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	tracer, err := telemetry.NewTracer(ctx, telemetry.TraceOptions{
		Exporter: s.Trace.Exporter, Endpoint: s.Trace.Endpoint, Ratio: s.Trace.Ratio,
		Process: p.Name, Node: s.Node.ID, Zone: s.Node.Zone,
	})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	env := &Env{Settings: s, Log: log, Tracer: tracer, Kernel: kernel.New(log)}
	if err := env.EnableTLS(); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if p.Admin != nil {
		_ = env.Kernel.Register(adminhttp.NewAdmin(p.Admin(s), s.Node.AdminConnections, log))
	}
	if err := p.Register(env); err != nil {
		log.Error().Err(err).Msg("registering services failed")
		return ExitFailed
	}
	log.Info().Str("version", Version()).Msg("starting")
	defer p.reloadOnHangup(env, config)()
	err = env.Kernel.Run(ctx, s.Node.Grace)
	_ = tracer.Shutdown(context.WithoutCancel(ctx))
	if err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		return ExitFailed
	}
	log.Info().Msg("stopped")
	return ExitOK
}

// reloadOnHangup reloads the settings on each SIGHUP until the returned function
// is called. If they can't be read, the current ones stay in force.
func (p Program) reloadOnHangup(env *Env, config string) func() {
	if p.Reload == nil {
		return func() {}
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			s, err := load(config)
			if err != nil {
				env.Log.Error().Err(err).Msg("reading settings failed; keeping the current ones")
				continue
			}
			env.Log.Info().Msg("settings reloaded")
			p.Reload(env, s)
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}

// load reads the settings file, or returns the defaults if path is empty.
func load(path string) (*settings.Settings, error) {
	if path == "" {
		return settings.Default(), nil
	}
	s, err := settings.Load(path)
	var problems *inifile.Error
	if errors.As(err, &problems) {
		return nil, problems
	}
	return s, err
}

func override(dst *string, v string) {
	if v != "" {
		*dst = v
	}
}

// Version returns the VCS revision of the build, or the module version if the
// build has none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
