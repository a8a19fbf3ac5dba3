// Package stall decides what to do about a connection that owes an answer
// and brings no byte. It may be dead while new connections work, or the
// upstream may be busy, or frozen. A probe on a new connection tells them
// apart.
//
// Invariant: a request that is not idempotent is never sent again.
package stall
