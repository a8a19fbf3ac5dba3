package callerhttp

import (
	"bufio"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/sockstat"
)

const (
	// writeStep is how much of a large response is written at a time.
	writeStep = 64 << 10
	// minDrainPoll and maxDrainPoll bound the time between two looks at what a caller has
	// acknowledged.
	minDrainPoll = time.Millisecond
	maxDrainPoll = 50 * time.Millisecond
)

// errNotRead is the error of an answer of which the caller has taken nothing for writeTimeout.
var errNotRead = errors.New("the caller does not read its answer")

// write sends a response. It returns when the caller has acknowledged all but the connection's
// buffer, so that the account covers what the kernel holds.
func (c *conn) write(resp *fasthttp.Response, account *membudget.Account) error {
	now := time.Now()
	c.sendingSince.Store(now.UnixNano())
	defer c.sendingSince.Store(0)
	_ = c.nc.SetWriteDeadline(now.Add(writeTimeout))
	c.steps = stepWriter{conn: c, account: account}
	if c.bw == nil {
		c.bw = bufio.NewWriterSize(&c.steps, 2<<10)
	} else {
		c.bw.Reset(&c.steps)
	}
	if err := resp.Write(c.bw); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	return c.drain(account)
}

// stepWriter writes in steps, so that the account knows how much the caller has taken.
type stepWriter struct {
	conn    *conn
	account *membudget.Account
}

// Write implements io.Writer.
func (s *stepWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n, err := s.conn.nc.Write(p[:min(len(p), writeStep)])
		written += n
		s.conn.unacked += n
		if err != nil {
			return written, err
		}
		if p = p[n:]; len(p) > 0 {
			s.account.Moved(n)
		}
	}
	return written, nil
}

// drain waits until the caller has acknowledged all but the connection's buffer.
func (c *conn) drain(account *membudget.Account) error {
	if c.server.buffer == 0 || c.unacked <= c.server.buffer {
		return nil
	}
	since, poll := time.Now(), minDrainPoll
	for {
		n, ok := sockstat.Unacknowledged(c.nc)
		if !ok { // the connection has ended, or the kernel doesn't tell
			c.unacked = 0
			return nil
		}
		now := time.Now()
		if n < c.unacked {
			account.Moved(c.unacked - n)
			since = now
		}
		c.unacked = n
		switch {
		case n <= c.server.buffer || sockstat.Ended(c.nc):
			return nil
		case now.Sub(since) > writeTimeout:
			return errNotRead
		}
		time.Sleep(poll)
		poll = min(2*poll, maxDrainPoll)
	}
}
