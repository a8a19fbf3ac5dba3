// Package usage decides how a fleet reports the requests of each team, by window of the
// wall clock, to a service that takes each window once and from one VM at a time.
//
// Counts are cells, one for each VM, incarnation and window. They only increase, so that
// merging two copies of a cell takes the larger counts and can be repeated. One VM, the
// reporter, holds a lease in the store. It seals a window by writing its sums to the store
// under the lease, and reports only what is sealed, so that a later reporter repeats the
// same counts. A fencing token that rises with each change of the holder makes the service
// reject calls of former reporters that arrive late.
//
// Two clocks go in: the time since boot (CLOCK_BOOTTIME), which counts suspensions and is
// never set, for the lease, and an estimate of true time for the windows.
package usage
