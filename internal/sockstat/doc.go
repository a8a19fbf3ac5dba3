// Package sockstat reads what the kernel knows of a TCP connection: the bytes that wait
// to be sent, the time since the last ones came in, the time of a round trip, and its end. A
// process can't see by itself how long bytes waited in its sockets.
package sockstat
