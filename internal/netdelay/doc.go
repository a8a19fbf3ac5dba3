// Package netdelay simulates the network latency between availability zones on
// connections within one machine. The dialing end delays the bytes of both
// directions.
package netdelay
