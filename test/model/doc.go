// Package model tests the decisions that keep the fleet-wide limits in random
// schedules: VMs start, fail, pause and lose the connection to the store, and the
// store fails. For each limit, a broken policy shows that the test detects an excess.
package model
