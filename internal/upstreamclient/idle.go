package upstreamclient

import (
	"errors"
	"net"
	"syscall"
)

// isIdle reports whether nothing can be read from nc. If the upstream has closed
// the connection or sent bytes outside an answer, the next request on it would
// fail with an unknown outcome.
func isIdle(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
