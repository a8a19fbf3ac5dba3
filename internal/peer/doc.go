// Package peer carries calls between the processes of sapphirewall: protobuf
// envelopes in length-prefixed frames on yamux streams over TCP. A Client
// multiplexes its calls on one session to one address; a Server passes the calls
// of all sessions to one Handler.
//
// A session that has calls in flight but receives no byte for
// Options.StallTimeout is closed and its calls fail at once, without waiting for
// TCP to detect the loss.
package peer
