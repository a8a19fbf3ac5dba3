package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"time"
)

// HTTP paths of the key-value service and the VM list.
const (
	PathGet    = "/v1/kv/get"
	PathList   = "/v1/kv/list"
	PathSwap   = "/v1/kv/swap"
	PathDelete = "/v1/kv/delete"
	PathWatch  = "/v1/kv/watch"
	PathGrant  = "/v1/lease/grant"
	PathRenew  = "/v1/lease/renew"
	PathRevoke = "/v1/lease/revoke"
	PathVMs    = "/v1/vms"
)

// SwapRequest is the body of PathSwap and, without a value, of PathDelete.
type SwapRequest struct {
	Key    string  `json:"key"`
	Expect uint64  `json:"expect"`
	Value  []byte  `json:"value,omitempty"`
	Lease  LeaseID `json:"lease,omitempty"`
}

// LeaseRequest is the body of the lease paths.
type LeaseRequest struct {
	ID        LeaseID `json:"id,omitempty"`
	TTLMillis int64   `json:"ttl_ms,omitempty"`
}

// ErrorReply is the body of every reply with a status other than 200. Error is
// one of the codes that ErrorCode returns, or free text.
type ErrorReply struct {
	Error string `json:"error"`
}

// errorsByCode maps the codes in an ErrorReply to errors. Each of these errors
// means that a write was not applied.
var errorsByCode = map[string]error{
	"not-found":       ErrNotFound,
	"conflict":        ErrConflict,
	"unavailable":     ErrUnavailable,
	"lease-not-found": ErrLeaseNotFound,
	"too-large":       ErrTooLarge,
}

// ErrorCode returns the code of err in an ErrorReply, or "" if it has none.
func ErrorCode(err error) string {
	for code, e := range errorsByCode {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}

// errorFromCode returns the error for the code in an ErrorReply, or nil if the
// body has no known code.
func errorFromCode(_ int, body []byte) error {
	var e ErrorReply
	if json.Unmarshal(body, &e) != nil {
		return nil
	}
	return errorsByCode[e.Error]
}

// Client calls the key-value service and the VM list over HTTP. It implements
// KV and VMList and is safe for concurrent use. It never retries a call.
type Client struct {
	kv  *Transport
	vms *Transport
}

// NewClient returns a client of the services at two addresses, IP:port. A call
// fails if there is no reply within timeout.
func NewClient(kvAddr, vmsAddr string, timeout time.Duration) *Client {
	return &Client{kv: NewTransport(kvAddr, timeout, errorFromCode), vms: NewTransport(vmsAddr, timeout, errorFromCode)}
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() uint64 { return c.kv.Calls() + c.vms.Calls() }

// Close closes idle connections.
func (c *Client) Close() {
	c.kv.Close()
	c.vms.Close()
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.kv.Do(ctx, Call{Path: PathGet + "?key=" + url.QueryEscape(key), Reply: &e})
	return e, err
}

// List implements KV.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var out []Entry
	err := c.kv.Do(ctx, Call{Path: PathList + "?prefix=" + url.QueryEscape(prefix), Reply: &out})
	return out, err
}

// CompareAndSwap implements KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, ErrTooLarge
	}
	var e Entry
	err := c.kv.Do(ctx, Call{Path: PathSwap, Body: SwapRequest{Key: key, Expect: expect, Value: value, Lease: lease}, Reply: &e})
	return e, err
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	return c.kv.Do(ctx, Call{Path: PathDelete, Body: SwapRequest{Key: key, Expect: expect}})
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Changes, error) {
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out Changes
	err := c.kv.Do(ctx, Call{Path: PathWatch + "?" + q.Encode(), Reply: &out, Wait: wait + WatchReplySlack})
	return out, err
}

// Grant implements KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var r LeaseRequest
	err := c.kv.Do(ctx, Call{Path: PathGrant, Body: LeaseRequest{TTLMillis: ttl.Milliseconds()}, Reply: &r})
	return r.ID, err
}

// Renew implements KV.
func (c *Client) Renew(ctx context.Context, id LeaseID) error {
	return c.kv.Do(ctx, Call{Path: PathRenew, Body: LeaseRequest{ID: id}})
}

// Revoke implements KV.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.kv.Do(ctx, Call{Path: PathRevoke, Body: LeaseRequest{ID: id}})
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	err := c.vms.Do(ctx, Call{Path: PathVMs, Reply: &out})
	return out, err
}
