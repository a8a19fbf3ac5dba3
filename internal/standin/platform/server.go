package standinplatform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// Paths that only the stand-in serves.
const (
	PathFaults = "/standin/faults" // GET or PUT Faults
	PathCalls  = "/standin/calls"  // GET the number of calls by kind
	PathSetVMs = "/standin/vms"    // PUT the list of VMs
)

// maxWatchWait limits how long a watch request may wait for changes.
const maxWatchWait = time.Minute

// Server serves a Store over HTTP.
type Server struct {
	*Store
	http *fasthttp.Server
}

// New returns a server of a new store that uses the system clock.
func New() *Server { return NewServer(NewStore(time.Now)) }

// NewServer returns a server of store.
func NewServer(store *Store) *Server {
	s := &Server{Store: store}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "standin-platform",
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    4 * platform.MaxValueBytes,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve accepts calls on ln until Close. It may be called for several
// listeners at the same time.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// closeGrace limits how long Close waits for calls in flight.
const closeGrace = 100 * time.Millisecond

// Close stops the listeners, waits up to closeGrace for calls in flight, and
// closes the connections.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	result, err := s.answer(ctx)
	if errors.Is(err, platform.ErrUnknown) {
		dropReply(ctx)
		return
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	b, err := json.Marshal(result)
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// dropReply closes the connection without a reply.
func dropReply(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	code := platform.ErrorCode(err)
	status := fasthttp.StatusConflict
	switch code {
	case "not-found", "lease-not-found":
		status = fasthttp.StatusNotFound
	case "unavailable":
		status = fasthttp.StatusServiceUnavailable
	case "":
		code, status = err.Error(), fasthttp.StatusBadRequest
	}
	b, _ := json.Marshal(platform.ErrorReply{Error: code})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func (s *Server) answer(ctx *fasthttp.RequestCtx) (any, error) {
	q := ctx.QueryArgs()
	switch string(ctx.Path()) {
	case platform.PathGet:
		return s.Get(ctx, string(q.Peek("key")))
	case platform.PathList:
		return s.List(ctx, string(q.Peek("prefix")))
	case platform.PathWatch:
		return s.answerWatch(ctx, q)
	case platform.PathSwap, platform.PathDelete:
		return s.answerWrite(ctx)
	case platform.PathGrant, platform.PathRenew, platform.PathRevoke:
		return s.answerLease(ctx)
	case platform.PathVMs:
		return s.VMs(ctx)
	default:
		return s.answerStandin(ctx)
	}
}

func (s *Server) answerWatch(ctx *fasthttp.RequestCtx, q *fasthttp.Args) (any, error) {
	from, err := strconv.ParseUint(string(q.Peek("from")), 10, 64)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(q.GetUintOrZero("wait_ms")) * time.Millisecond
	return s.Watch(ctx, string(q.Peek("prefix")), from, min(wait, maxWatchWait))
}

func (s *Server) answerWrite(ctx *fasthttp.RequestCtx) (any, error) {
	var r platform.SwapRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		return nil, err
	}
	if string(ctx.Path()) == platform.PathDelete {
		return struct{}{}, s.Delete(ctx, r.Key, r.Expect)
	}
	return s.CompareAndSwap(ctx, r.Key, r.Expect, r.Value, r.Lease)
}

func (s *Server) answerLease(ctx *fasthttp.RequestCtx) (any, error) {
	var r platform.LeaseRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		return nil, err
	}
	switch string(ctx.Path()) {
	case platform.PathGrant:
		id, err := s.Grant(ctx, time.Duration(r.TTLMillis)*time.Millisecond)
		return platform.LeaseRequest{ID: id, TTLMillis: r.TTLMillis}, err
	case platform.PathRenew:
		return struct{}{}, s.Renew(ctx, r.ID)
	default:
		return struct{}{}, s.Revoke(ctx, r.ID)
	}
}

// errUnknownPath is the error for a request to an unknown path.
var errUnknownPath = errors.New("unknown path")

func (s *Server) answerStandin(ctx *fasthttp.RequestCtx) (any, error) {
	switch string(ctx.Path()) {
	case PathFaults:
		if ctx.IsPut() {
			var f Faults
			if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
				return nil, err
			}
			s.SetFaults(f)
		}
		return s.Faults(), nil
	case PathCalls:
		return s.Calls(), nil
	case PathSetVMs:
		var list []platform.VM
		if err := json.Unmarshal(ctx.PostBody(), &list); err != nil {
			return nil, err
		}
		s.SetVMs(list)
		return list, nil
	default:
		return nil, errUnknownPath
	}
}
