package crowd

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// writeTime is how long a client tries to write a request that the process doesn't read.
	writeTime = 5 * time.Second
	// clientHosts is the number of addresses that a crowd comes from.
	clientHosts = 3
	// clientBuffer is the receive buffer of a client, so that answers that it doesn't read
	// stay with the process.
	clientBuffer = 4 << 10
	// clientSendBuffer bounds what the kernel holds for a client.
	clientSendBuffer = 64 << 10
)

// Crowd is the connections of some clients.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// dial opens a connection as client i, and returns nil if that fails.
func (c *Crowd) dial(addr string, i int) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%clientHosts))}, Timeout: writeTime}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	_ = nc.(*net.TCPConn).SetReadBuffer(clientBuffer)
	_ = nc.(*net.TCPConn).SetWriteBuffer(clientSendBuffer)
	return nc
}

// Send opens connections to an address, writes text to each in pieces of a size, and leaves
// them open without reading. It returns when all are written, refused or blocked.
func (c *Crowd) Send(addr string, connections, piece int, text string) {
	var wg sync.WaitGroup
	for i := range connections {
		wg.Go(func() {
			nc := c.dial(addr, i)
			if nc == nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, nc)
			c.mu.Unlock()
			_ = nc.SetWriteDeadline(time.Now().Add(writeTime))
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				if _, err := io.WriteString(nc, rest[:n]); err != nil {
					return
				}
				if rest = rest[n:]; rest != "" {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
}

// Reset opens connections to an address a number of times in a row each, and resets each
// once text is written.
func (c *Crowd) Reset(addr string, connections, times int, text string) {
	var wg sync.WaitGroup
	for i := range connections {
		wg.Go(func() {
			for range times {
				nc := c.dial(addr, i)
				if nc == nil {
					continue
				}
				_ = nc.SetWriteDeadline(time.Now().Add(writeTime))
				_, _ = io.WriteString(nc, text)
				_ = nc.(*net.TCPConn).SetLinger(0)
				_ = nc.Close()
			}
		})
	}
	wg.Wait()
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	for _, nc := range c.conns {
		_ = nc.Close()
	}
	c.conns = nil
}
