package direct

import "time"

// The waits from which a log line is written.
const (
	// loggedLag is a time for which goroutines that could run wait for the processor.
	loggedLag = 100 * time.Millisecond
	// loggedQueue is the number of bytes for other VMs that wait in the link: 13 ms of
	// 20 Mbit/s.
	loggedQueue = 32 << 10
)

// queued returns the bytes for other VMs that wait in the VM's link.
func (s *Service) queued() int {
	if s.opts.Queued == nil {
		return 0
	}
	return s.opts.Queued()
}

// Stalled returns how long something that is handled now may have waited for the process.
func (s *Service) Stalled(now time.Time) time.Duration {
	s.lagMu.Lock()
	defer s.lagMu.Unlock()
	return s.lag.Wait(now)
}

// observeWaits records how late a tick that was due at a time is handled, and what waits
// in the VM's link. Both make requests late without a sign at the requests themselves.
func (s *Service) observeWaits(due time.Time) {
	now := time.Now()
	lag, queued := now.Sub(due), s.queued()
	s.lagMu.Lock()
	s.lag.Tick(now)
	s.lagMu.Unlock()
	s.metrics.observe("lag", lag)
	if lag >= loggedLag {
		s.log.Warn("waits").Dur("lag", lag).Msg("goroutines wait for the processor; requests are read and sent late")
	}
	if queued >= loggedQueue {
		s.metrics.count("link_queued")
		s.log.Info("waits").Int("queued", queued).Msg("bytes for other VMs wait in the link; what is sent now arrives after them")
	}
}
