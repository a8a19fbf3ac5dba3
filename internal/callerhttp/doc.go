// Package callerhttp serves callers' HTTP/1.1 connections. A connection is read all
// the time, also while a request is answered, so that a caller who leaves is
// noticed at once. Shutdown is in two steps: first answers ask callers to close
// and come back elsewhere, then idle connections are closed, and what is in hand
// is answered.
package callerhttp
