package callerhttp

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/sockstat"
)

// The steps that show whether the kernel tells when bytes came in.
const (
	// provingTime is how long ago a request must have come in to show it.
	provingTime = 20 * time.Millisecond
	// maxZeros is how many times in a row the kernel may say that bytes of that age came in
	// just now. A user-space network stack may leave the field empty.
	maxZeros = 3
)

// What is known of the kernel.
const (
	unproven int32 = iota
	tells
	doesNotTell
)

// arrivals tells when requests came in to the machine. It is safe for concurrent use.
type arrivals struct {
	kernel atomic.Int32
	zeros  atomic.Int32
	// stalled returns how long something that is handled now may have waited for the
	// process; nil: not known.
	stalled func(now time.Time) time.Duration
}

// of returns when the last byte of a request that has just been read came in, how long it
// was unread as far as the kernel tells, and by how much it may have come in earlier.
func (a *arrivals) of(nc net.Conn) (arrived time.Time, waited, uncertain time.Duration) {
	now := time.Now()
	waited, _ = sockstat.SinceReceived(nc)
	if a.kernel.Load() != tells && a.stalled != nil {
		uncertain = max(0, a.stalled(now)-waited)
	}
	return now.Add(-waited), waited, uncertain
}

// prove checks what the kernel tells of a connection on which a request came in at a time.
func (a *arrivals) prove(nc net.Conn, arrived time.Time) {
	if a.kernel.Load() != unproven || time.Since(arrived) < provingTime {
		return
	}
	switch d, ok := sockstat.SinceReceived(nc); {
	case d > 0:
		a.kernel.Store(tells)
	case !ok || a.zeros.Add(1) >= maxZeros:
		a.kernel.Store(doesNotTell)
	}
}

// travel returns how much of a caller's time a request and its answer spend on the network.
// The first request of a connection follows a handshake, for which the caller has waited
// too. It is 0 if the kernel doesn't tell.
func travel(nc net.Conn, connectionUsed bool) time.Duration {
	rtt, _ := sockstat.RoundTrip(nc)
	if connectionUsed {
		return rtt
	}
	return 2 * rtt
}
