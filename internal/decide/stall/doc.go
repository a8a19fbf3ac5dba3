// Package stall decides what to do about a connection that has a request
// outstanding and receives no bytes. The connection may be dead while new ones
// work, or the upstream may be busy or frozen. A probe on a new connection
// distinguishes these cases.
//
// Invariant: a request that is not idempotent is never retried.
package stall
