// Package verdict defines the error type that is passed along every hop of the
// query path. A verdict states whether an upstream may have executed a request,
// why the request failed and when the caller may retry.
//
// Invariant: NotRun is used only if no byte of the request can have reached an
// upstream that could execute it, or if the upstream itself stated that it did
// not execute the request.
package verdict
