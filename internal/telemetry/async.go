package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of an AsyncWriter.
const (
	// asyncBufferBytes limits the pending bytes. It holds several seconds of lines
	// of several kinds at the rate limit of a RateLimitedLogger.
	asyncBufferBytes = 1 << 20
	// asyncFlushInterval is the time between two writes; the lines of an interval
	// are written together.
	asyncFlushInterval = 50 * time.Millisecond
)

// AsyncWriter writes to another writer from its own goroutine, so that a slow or
// stopped reader of the log never blocks the code that logs. Lines that don't
// fit in the buffer are dropped and counted.
type AsyncWriter struct {
	w io.Writer

	mu      sync.Mutex // guards the fields below
	pending []byte
	omitted int
	closed  bool

	done chan struct{}
	stop chan struct{}
}

// NewAsyncWriter returns a writer to w; Close flushes it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, done: make(chan struct{}), stop: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer; it never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || len(a.pending)+len(p) > asyncBufferBytes {
		a.omitted++
		return len(p), nil
	}
	a.pending = append(a.pending, p...)
	return len(p), nil
}

// Close writes the pending lines and stops the writer. Later writes are dropped.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.closed = true
	a.mu.Unlock()
	close(a.stop)
	<-a.done
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	tick := time.NewTicker(asyncFlushInterval)
	defer tick.Stop()
	var buf []byte
	for {
		select {
		case <-tick.C:
			buf = a.flush(buf)
		case <-a.stop:
			a.flush(buf)
			return
		}
	}
}

// flush writes the pending lines and returns their buffer for reuse.
func (a *AsyncWriter) flush(buf []byte) []byte {
	a.mu.Lock()
	out, omitted := a.pending, a.omitted
	a.pending, a.omitted = buf[:0], 0
	a.mu.Unlock()
	if omitted > 0 {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"kind\":\"log\",\"omitted\":%d,\"message\":\"lines left out: the log's reader is slow\"}\n", omitted)
	}
	if len(out) > 0 {
		// A failure to write the log can't be reported anywhere.
		_, _ = a.w.Write(out)
	}
	return out
}
