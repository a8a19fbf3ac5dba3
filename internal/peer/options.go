package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The newest and the oldest protocol version that this build supports.
const (
	Version    = 1
	MinVersion = 1
)

// Default values of Options.
const (
	DefaultStreams      = 4
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultStallTimeout = 300 * time.Millisecond
	DefaultHelloTimeout = 2 * time.Second
	DefaultRedialDelay  = 100 * time.Millisecond
)

// Roles of processes.
const (
	RoleEntry   = "entry"
	RoleEgress  = "egress"
	RoleControl = "control"
	RoleTool    = "tool"
)

// Identity describes the process at one end of a session.
type Identity struct {
	Fleet       string
	Node        string
	Zone        string
	Role        string
	Incarnation uint64
}

// Handler answers calls. An error that is not a *verdict.Error reaches the caller
// with the outcome MayHaveRun. ctx ends when the caller cancels the call or the
// session fails.
type Handler interface {
	Handle(ctx context.Context, from Identity, req *swpb.Envelope) (*swpb.Envelope, error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, from Identity, req *swpb.Envelope) (*swpb.Envelope, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, from Identity, req *swpb.Envelope) (*swpb.Envelope, error) {
	return f(ctx, from, req)
}

// DialFunc opens the connection of a session. TLS and tests replace the default,
// which is plain TCP.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Options configures clients and servers. Zero values select the defaults.
type Options struct {
	Self         Identity
	Streams      int           // yamux streams per session
	DialTimeout  time.Duration // for the connection and the handshake
	StallTimeout time.Duration // without a received byte while calls are in flight
	HelloTimeout time.Duration // server: time allowed for the Hello to arrive
	RedialDelay  time.Duration // after a failed dial; calls fail until it has passed
	Dial         DialFunc
	// Wrap replaces each connection, dialled or accepted; nil: none is.
	Wrap func(net.Conn) net.Conn
}

// withDefaults returns o with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.Streams <= 0 {
		o.Streams = DefaultStreams
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.StallTimeout <= 0 {
		o.StallTimeout = DefaultStallTimeout
	}
	if o.HelloTimeout <= 0 {
		o.HelloTimeout = DefaultHelloTimeout
	}
	if o.RedialDelay <= 0 {
		o.RedialDelay = DefaultRedialDelay
	}
	if o.Wrap == nil {
		o.Wrap = func(c net.Conn) net.Conn { return c }
	}
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return o
}

// yamuxConfig turns off yamux's keep-alive, which would send bytes on every idle
// session; this package checks liveness itself.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.StreamOpenTimeout = 0
	c.ConnectionWriteTimeout = DefaultHelloTimeout
	c.LogOutput = io.Discard
	return c
}
