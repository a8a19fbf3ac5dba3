// Package revision decides which revision of the tables is in force on a node.
// Offers arrive from the platform and from peers in any order, and some are out
// of date. A node adopts the highest revision whose contents it has verified and
// never returns to a lower one. A node that has just started has no state, so it
// first waits for its peers' revisions: otherwise a platform that serves stale
// data would return the node to a revision older than the one in force before
// its restart.
//
// The package is pure: the calling code passes the time in and does the I/O.
package revision
