package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The protocol versions that this build speaks.
const (
	Version    = 1
	MinVersion = 1
)

// The defaults of Options.
const (
	DefaultStreams      = 4
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultStallTimeout = 300 * time.Millisecond
	DefaultHelloTimeout = 2 * time.Second
	DefaultRedialDelay  = 100 * time.Millisecond
)

// The roles of processes.
const (
	RoleEntry   = "entry"
	RoleEgress  = "egress"
	RoleControl = "control"
	RoleTool    = "tool"
)

// Identity says who is at one end of a session.
type Identity struct {
	Fleet       string
	Node        string
	Zone        string
	Role        string
	Incarnation uint64
}

// Handler answers one call. An error that is no verdict reaches the caller as
// one that may have run. ctx ends when the caller gives the call up or the
// session fails.
type Handler interface {
	Handle(ctx context.Context, from Identity, req *swpb.Envelope) (*swpb.Envelope, error)
}

// HandlerFunc makes a function a Handler.
type HandlerFunc func(ctx context.Context, from Identity, req *swpb.Envelope) (*swpb.Envelope, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, from Identity, req *swpb.Envelope) (*swpb.Envelope, error) {
	return f(ctx, from, req)
}

// DialFunc opens the connection of a session; TLS and tests replace it.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Options configures clients and servers. Zero values take the defaults.
type Options struct {
	Self         Identity
	Streams      int           // yamux streams a session
	DialTimeout  time.Duration // for the TCP connection and the Hello
	StallTimeout time.Duration // without a byte while calls are outstanding
	HelloTimeout time.Duration // server: wait for the Hello
	RedialDelay  time.Duration // pause after a failed dial; calls fail meanwhile
	Dial         DialFunc
}

// withDefaults returns o with every zero value replaced.
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
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return o
}

// yamuxConfig leaves liveness to this package: yamux's own keep-alive would
// cost bytes on every idle session.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.StreamOpenTimeout = 0
	c.ConnectionWriteTimeout = DefaultHelloTimeout
	c.LogOutput = io.Discard
	return c
}
