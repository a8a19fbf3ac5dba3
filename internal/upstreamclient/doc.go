// Package upstreamclient is an HTTP client for the interface of package
// upstream. A connection carries one request at a time, so that the user of the
// package can limit the number of connections, cancel one request without
// affecting another, and close a connection after an invalid answer.
//
// Every error of Conn.Do is a *verdict.Error. Its outcome is NotRun only if no
// byte of the request was written to the connection, or if the upstream's
// answer to this request and attempt states that it was not executed.
package upstreamclient
