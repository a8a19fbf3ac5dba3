// Package sockstat reads what the kernel knows of a TCP connection: the bytes that wait
// to be sent, and the time since the last ones came in. A process can't see by itself
// how long bytes waited in its sockets.
package sockstat
