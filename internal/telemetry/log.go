package telemetry

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Log formats.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// NewLogger returns a logger to w whose lines carry the names of the process and,
// if node is set, of its node.
func NewLogger(w io.Writer, level, format, process, node string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), eris.Wrapf(err, "parse log level %q", level)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	if format == FormatConsole {
		zerolog.TimeFieldFormat = "15:04:05.000"
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000"}
	}
	ctx := zerolog.New(w).Level(l).With().Timestamp().Str("process", process)
	if node != "" {
		ctx = ctx.Str("node", node)
	}
	return ctx.Logger(), nil
}
