package peer

import (
	"context"
	"sync"
)

// afterWrite is what a handler wants to be called when its reply has left the process.
type afterWrite struct {
	mu   sync.Mutex // guards fn and stop
	fn   func()
	stop func() bool // ends the watch on the stream
}

// afterWriteKey is the key of a call's afterWrite in its context.
type afterWriteKey struct{}

// AfterWrite has fn called once when the reply to the call of a handler's context has been
// written or can't be any more. It reports false if ctx is not that of a call; fn is then
// never called.
func AfterWrite(ctx context.Context, fn func()) bool {
	a, ok := ctx.Value(afterWriteKey{}).(*afterWrite)
	if ok {
		a.mu.Lock()
		a.fn = fn
		a.mu.Unlock()
	}
	return ok
}

// watch makes the end of a stream count as the end of the write.
func (a *afterWrite) watch(stream context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fn != nil {
		a.stop = context.AfterFunc(stream, a.run)
	}
}

func (a *afterWrite) run() {
	a.mu.Lock()
	fn, stop := a.fn, a.stop
	a.fn = nil
	a.mu.Unlock()
	if fn == nil {
		return
	}
	if stop != nil {
		stop()
	}
	fn()
}
