// Package membudget counts the bytes that the requests of a process use: heads, decoded
// header fields, bodies, and the answers to them. Each request has an Account, on which
// whatever it needs is drawn as it arrives. The account is closed when the last user of
// the request has released it, and everything that was drawn is returned at once. What to
// give up when bytes are short is decided by internal/decide/bytebudget.
package membudget
