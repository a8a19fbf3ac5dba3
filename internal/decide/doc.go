// Package decide is the parent of the decision packages. Each of them is a pure
// state machine: time, events and randomness are passed in; actions and the time
// of the next wake-up are returned. None reads a clock, starts a goroutine, opens
// a socket, logs, or depends on map order.
package decide
