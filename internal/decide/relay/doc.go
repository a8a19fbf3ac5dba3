// Package relay decides which nodes of an availability zone call the platform.
// The other nodes long-poll a relay of their zone, so the number of platform
// calls grows with the number of zones and not of nodes, and tables cross zone
// boundaries once per relay. There is no election: every node computes the
// relays from its member list by rendezvous hashing, and the next node in the
// ranking takes over when a relay fails.
package relay
