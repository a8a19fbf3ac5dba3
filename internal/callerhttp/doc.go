// Package callerhttp serves callers' HTTP/1.1 connections. A connection is read at
// all times, also while a request is being answered, so that a caller's disconnect
// is noticed at once. Shutdown has two steps: first, responses carry
// Connection: close, so that callers reconnect elsewhere; then idle connections
// are closed and the active requests are answered.
package callerhttp
