package sockstat

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the bytes that were written to a connection and that the other
// end has not acknowledged yet. ok is false if the kernel doesn't tell.
func Unacknowledged(c net.Conn) (n int, ok bool) {
	control(c, func(fd int) {
		var err error
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		ok = err == nil
	})
	return n, ok
}

// SinceReceived returns the time since the last bytes came in on a connection, whether
// they have been read or not, in whole milliseconds. ok is false if the kernel doesn't
// tell.
func SinceReceived(c net.Conn) (d time.Duration, ok bool) {
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		d, ok = time.Duration(info.Last_data_recv)*time.Millisecond, true
	})
	return d, ok
}

// RoundTrip returns the time that a packet and its acknowledgement take on a connection. ok
// is false if the kernel doesn't tell.
func RoundTrip(c net.Conn) (d time.Duration, ok bool) {
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.Rtt == 0 {
			return
		}
		d, ok = time.Duration(info.Rtt)*time.Microsecond, true
	})
	return d, ok
}

// tcpClosed is the state of a connection that has ended, as after a reset.
const tcpClosed = 7

// Ended reports whether a connection that was not closed here has ended. It is false if the
// kernel doesn't tell.
func Ended(c net.Conn) (ended bool) {
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == tcpClosed
	})
	return ended
}

// control calls fn with the file descriptor of a connection, unless it is closed or has
// none.
func control(c net.Conn, fn func(fd int)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { fn(int(fd)) }) // an error means that it is closed
}
