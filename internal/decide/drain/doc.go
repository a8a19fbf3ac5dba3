// Package drain combines the signals that an upstream is draining: the pool's
// "leaving" key in the tables, the platform's list of VMs, and the upstream's own
// state. Any one signal is enough, and only the source of a signal can end it, so
// a wrong or late signal neither hides nor ends another one.
//
// The package is pure: the calling code passes the time in.
package drain
