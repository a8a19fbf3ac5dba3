package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// The bounds of an Async writer.
const (
	// asyncBufferBytes is what may wait to be written: some seconds of lines at the
	// budget of several kinds.
	asyncBufferBytes = 1 << 20
	// asyncFlushInterval is the time between two writes, so that lines that come close
	// together share one.
	asyncFlushInterval = 50 * time.Millisecond
)

// AsyncWriter writes lines to another writer from a goroutine of its own, so that a
// reader that is slow or gone never blocks who logs. Lines that find no room
// are left out and counted.
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

// Close writes what is pending, and takes nothing more.
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

// flush writes what is pending and returns a buffer to be used again.
func (a *AsyncWriter) flush(buf []byte) []byte {
	a.mu.Lock()
	out, omitted := a.pending, a.omitted
	a.pending, a.omitted = buf[:0], 0
	a.mu.Unlock()
	if omitted > 0 {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"kind\":\"log\",\"omitted\":%d,\"message\":\"lines left out: the log's reader is slow\"}\n", omitted)
	}
	if len(out) > 0 {
		// There is nowhere to report that the log itself can't be written.
		_, _ = a.w.Write(out)
	}
	return out
}
