package telemetry

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// linesPerSecond bounds the lines of one kind that a process writes. At about
// 10 us a line, ten kinds at their bound take 2% of a core.
const linesPerSecond = 200

// RateLimitedLogger writes structured lines under a budget for each kind, so that trouble
// that strikes every request doesn't drown the process. The number of lines
// left out is itself logged. It is safe for concurrent use.
type RateLimitedLogger struct {
	log zerolog.Logger

	mu      sync.Mutex
	second  time.Time
	written map[string]int
	omitted map[string]int
}

// NewRateLimitedLogger returns a budgeted logger on top of log.
func NewRateLimitedLogger(log zerolog.Logger) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, written: map[string]int{}, omitted: map[string]int{}}
}

// Info begins a line of a kind, or returns a disabled one when the kind's budget
// is used up.
func (b *RateLimitedLogger) Info(kind string) *zerolog.Event { return b.line(kind, zerolog.InfoLevel) }

// Warn is Info for what someone should look at.
func (b *RateLimitedLogger) Warn(kind string) *zerolog.Event { return b.line(kind, zerolog.WarnLevel) }

func (b *RateLimitedLogger) line(kind string, level zerolog.Level) *zerolog.Event {
	b.mu.Lock()
	b.written[kind]++
	over := b.written[kind] > linesPerSecond
	if over {
		b.omitted[kind]++
	}
	b.mu.Unlock()
	if over {
		return nil // zerolog ignores calls on a nil event
	}
	return b.log.WithLevel(level).Str("kind", kind)
}

// Tick begins a new budget once a second has passed; it is to be called several
// times a second.
func (b *RateLimitedLogger) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.second) < time.Second {
		return
	}
	b.second = now
	b.report()
}

// Flush logs what was left out since the last Tick.
func (b *RateLimitedLogger) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report()
}

func (b *RateLimitedLogger) report() {
	for kind, n := range b.omitted {
		b.log.Warn().Str("kind", "log").Str("of_kind", kind).Int("omitted", n).Msg("lines left out")
	}
	clear(b.omitted)
	clear(b.written)
}
