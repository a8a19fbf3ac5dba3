// Package connect decides when a connection to a replica may be opened. An
// upstream accepts a limited number of connections and spends time on each new
// one. After a restart or a network failure all connections are wanted at once.
package connect
