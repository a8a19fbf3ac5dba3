package upstreamclient

import (
	"errors"
	"net"
	"syscall"
)

// isIdle reports whether an idle connection has nothing to read. An upstream
// that closed it, or sent a byte nobody asked for, would make the next request
// fail with its fate unknown.
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
