// Package limit decides whether an attempt is sent to a replica now, waits for a
// slot, or is rejected because it could not be answered before its deadline. The
// caller of this package keeps the queue itself, in order of arrival.
//
// Invariant: no attempt is admitted above the limit, and none waits so long that
// too little time is left to execute it.
package limit
