package telemetry

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// linesPerSecond limits the lines of each kind that a process logs. A line takes
// about 10 us, so that ten kinds at the limit use 2% of a core.
const linesPerSecond = 200

// RateLimitedLogger limits the log lines of each kind per second, so that a fault
// that affects every request doesn't overload the process with logging. It logs
// the number of dropped lines. It is safe for concurrent use.
type RateLimitedLogger struct {
	log zerolog.Logger

	mu          sync.Mutex
	windowStart time.Time
	written     map[string]int
	omitted     map[string]int
}

// NewRateLimitedLogger returns a rate-limited logger that writes to log.
func NewRateLimitedLogger(log zerolog.Logger) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, written: map[string]int{}, omitted: map[string]int{}}
}

// Info starts a line of the given kind at level info. It returns a nil event,
// which writes nothing, if the kind has reached its limit.
func (l *RateLimitedLogger) Info(kind string) *zerolog.Event { return l.line(kind, zerolog.InfoLevel) }

// Warn is like Info at level warn, for conditions that need an operator's
// attention.
func (l *RateLimitedLogger) Warn(kind string) *zerolog.Event { return l.line(kind, zerolog.WarnLevel) }

func (l *RateLimitedLogger) line(kind string, level zerolog.Level) *zerolog.Event {
	l.mu.Lock()
	l.written[kind]++
	over := l.written[kind] > linesPerSecond
	if over {
		l.omitted[kind]++
	}
	l.mu.Unlock()
	if over {
		return nil // zerolog ignores calls on a nil event
	}
	return l.log.WithLevel(level).Str("kind", kind)
}

// Tick resets the limits when a second has passed since the last reset. It must
// be called several times a second.
func (l *RateLimitedLogger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) < time.Second {
		return
	}
	l.windowStart = now
	l.reset()
}

// Flush logs the number of lines dropped since the last reset and resets the limits.
func (l *RateLimitedLogger) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

func (l *RateLimitedLogger) reset() {
	for kind, n := range l.omitted {
		l.log.Warn().Str("kind", "log").Str("of_kind", kind).Int("omitted", n).Msg("lines left out: limit per second reached")
	}
	clear(l.omitted)
	clear(l.written)
}
