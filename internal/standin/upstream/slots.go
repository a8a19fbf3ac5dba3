package upstream

import (
	"sync"
	"time"
)

// acquireResult is the result of acquire.
type acquireResult uint8

const (
	granted acquireResult = iota
	queueFull
	expired
	cancelled
)

// slots is a counting semaphore with a bounded first-in, first-out queue.
type slots struct {
	mu      sync.Mutex // guards the fields below
	size    int
	queue   int // limit of waiting requests
	active  int
	waiters []chan struct{}
}

func newSlots(size, queue int) *slots { return &slots{size: size, queue: queue} }

// acquire waits for a slot until the deadline or until stop is closed. A zero
// deadline never expires. The limit of the queue applies if bounded is true.
func (s *slots) acquire(deadline time.Time, stop <-chan struct{}, bounded bool) acquireResult {
	s.mu.Lock()
	if s.active < s.size {
		s.active++
		s.mu.Unlock()
		return granted
	}
	if bounded && len(s.waiters) >= s.queue {
		s.mu.Unlock()
		return queueFull
	}
	ready := make(chan struct{})
	s.waiters = append(s.waiters, ready)
	s.mu.Unlock()
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-ready:
		return granted
	case <-timeout:
		return s.abandon(ready, expired)
	case <-stop:
		return s.abandon(ready, cancelled)
	}
}

// abandon removes a waiter. If it was granted a slot in the meantime, the slot goes
// to the next waiter.
func (s *slots) abandon(ready chan struct{}, result acquireResult) acquireResult {
	s.mu.Lock()
	for i, w := range s.waiters {
		if w == ready {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.mu.Unlock()
			return result
		}
	}
	s.mu.Unlock()
	s.release()
	return result
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		return
	}
	s.active--
}

// load returns the numbers of executing and waiting requests.
func (s *slots) load() (active, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active, len(s.waiters)
}
