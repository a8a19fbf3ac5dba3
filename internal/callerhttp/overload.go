package callerhttp

import "time"

// sendTime is how long an answer may take to be sent before its connection may be closed for
// others.
const sendTime = time.Second

// closeWaiting closes the connection that has waited longest for a whole request, or else
// the one whose caller has taken longest to read its answer, because something is short. It
// reports whether there was one.
func (s *Server) closeWaiting(except *conn, short string) bool {
	s.mu.Lock()
	c := s.longest(func(c *conn) int64 {
		if c == except || c.pending.Load() > 0 {
			return 0
		}
		return c.waitingSince.Load()
	})
	if c == nil {
		slow := time.Now().Add(-sendTime).UnixNano()
		c = s.longest(func(c *conn) int64 {
			if since := c.sendingSince.Load(); c != except && since < slow {
				return since
			}
			return 0
		})
	}
	if c != nil {
		s.forget(c)
	}
	s.mu.Unlock()
	if c == nil {
		return false
	}
	_ = c.nc.Close()
	s.closed(c, short)
	return true
}

// longest returns the connection with the earliest time among those of the client with the
// most connections that have one. since returns the time in Unix ns, or 0 for a connection
// that doesn't count. It returns nil if none does. s.mu is held.
func (s *Server) longest(since func(c *conn) int64) *conn {
	var found *conn
	var earliest int64
	for c := range s.conns {
		at := since(c)
		if at == 0 {
			continue
		}
		if found == nil || s.byClient[c.client] > s.byClient[found.client] ||
			s.byClient[c.client] == s.byClient[found.client] && at < earliest {
			found, earliest = c, at
		}
	}
	return found
}

// closed records that a connection was closed because something is short.
func (s *Server) closed(c *conn, short string) {
	s.metrics.Add("closed_for_"+short, 1)
	s.log.Tick(time.Now())
	s.log.Info(s.name).Str("client", c.client).Str("short", short).Msg("connection of a caller closed")
}

// slowReader records that a connection was closed because the caller doesn't read its answer.
func (s *Server) slowReader(c *conn) {
	s.metrics.Add("slow_readers_closed", 1)
	s.log.Tick(time.Now())
	s.log.Info(s.name).Str("client", c.client).Msg("connection of a caller closed: it does not read its answer")
}

// refused records that a request was refused because bytes are short.
func (s *Server) refused(c *conn) {
	s.metrics.Add("refused_for_memory", 1)
	s.log.Tick(time.Now())
	s.log.Info(s.name).Str("client", c.client).Bool("unfinished", c.evicted.Load()).Msg("request refused: its bytes don't fit into the budget")
}
