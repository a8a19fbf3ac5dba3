package callerhttp

import (
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
)

// bufferFactor is by how much the kernel exceeds the receive buffer that it is told, for its
// own use. Large packets leave most of that to data.
const bufferFactor = 2

// setReceiveBuffer sets the bytes that the kernel holds of what a socket has received; 0: as
// many as the kernel decides.
func setReceiveBuffer(rc syscall.RawConn, bytes int) error {
	if bytes == 0 {
		return nil
	}
	var err error
	if e := rc.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/bufferFactor)
	}); e != nil {
		return e
	}
	return err
}

// widen draws bytes for the kernel's receive buffer, if there are some to spare, so that a
// large request arrives as fast as the link allows.
func (c *conn) widen(account *membudget.Account, bytes int) {
	if c.server.buffer == 0 || bytes <= c.window {
		return
	}
	drawn := account.TakeSpare(bytes - c.window)
	if drawn == 0 {
		return
	}
	c.window += drawn
	c.setWindow()
}

// narrow returns what widen has drawn.
func (c *conn) narrow(account *membudget.Account) {
	if c.window == 0 {
		return
	}
	account.Return(c.window)
	c.window = 0
	c.setWindow()
}

// setWindow sets the kernel's receive buffer.
func (c *conn) setWindow() {
	if nc, ok := c.nc.(interface{ SetReadBuffer(bytes int) error }); ok {
		// An error means that the connection has ended.
		_ = nc.SetReadBuffer((c.server.buffer + c.window) / bufferFactor)
	}
}
