// Package ownership ranks the egress processes that may own a replica, by rendezvous
// hashing. Nodes that know the same members compute the same ranking, so they need
// no agreement protocol.
package ownership
