package control

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/sapphirewall/sapphirewall/internal/peer"
)

// refusalDialer dials and records the addresses at which the last connection was
// refused: their host is reachable, but no process listens.
type refusalDialer struct {
	base peer.DialFunc

	mu      sync.Mutex // guards refused
	refused map[string]bool
}

// newRefusalDialer wraps a dial function; nil stands for plain TCP.
func newRefusalDialer(dial peer.DialFunc) *refusalDialer {
	if dial == nil {
		var d net.Dialer
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &refusalDialer{base: dial, refused: map[string]bool{}}
}

func (r *refusalDialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := r.base(ctx, addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.refused[addr] = true
	} else {
		delete(r.refused, addr)
	}
	return conn, err
}

// wasRefused reports whether the last connection attempt to addr was refused.
func (r *refusalDialer) wasRefused(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[addr]
}
