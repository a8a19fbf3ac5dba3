package usage

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sampleTime is how long a reading of another VM's clock is used.
	sampleTime = 30 * time.Second
	// maxSamples bounds the readings that are kept. The median of 64 clocks is not
	// moved by a few wrong ones.
	maxSamples = 64
	// minClocks is the number of clocks from which a VM's estimate is better than its
	// clock alone.
	minClocks = 3
)

// sample is a reading of a clock: true time at boot, by that clock.
type sample struct {
	offset time.Duration
	at     time.Duration
}

// Clock estimates true time as the median of the wall clocks of several VMs, so that a
// step of one of them does not move counts into other windows. Times are since boot.
type Clock struct {
	self     string
	samples  map[string]sample
	estimate time.Duration
	known    bool
}

// NewClock returns the clock of a VM.
func NewClock(self string) *Clock { return &Clock{self: self, samples: map[string]sample{}} }

// ObserveOwn records a reading of this VM's wall clock.
func (c *Clock) ObserveOwn(boot time.Duration, wall time.Time) {
	c.observe(c.self, boot, wall)
}

// Observe records the wall clock of another VM, and its estimate, from which number of
// clocks. boot is the time at which both were read.
func (c *Clock) Observe(boot time.Duration, vm string, wall, estimate time.Time, clocks int) {
	c.observe(vm, boot, wall)
	if clocks >= minClocks {
		c.observe(vm+"/estimate", boot, estimate)
	}
}

func (c *Clock) observe(name string, boot time.Duration, t time.Time) {
	if _, ok := c.samples[name]; !ok && len(c.samples) >= maxSamples {
		return
	}
	c.samples[name] = sample{offset: time.Duration(t.UnixNano()) - boot, at: boot}
}

// Now returns the estimate of true time, and the number of clocks that it comes from.
func (c *Clock) Now(boot time.Duration) (t time.Time, clocks int) {
	var offsets []time.Duration
	for name, s := range c.samples {
		if boot-s.at > sampleTime {
			delete(c.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if n := len(offsets); n > 0 {
		slices.Sort(offsets)
		low, high := offsets[(n-1)/2], offsets[n/2]
		// Of two middle clocks the one is used that agrees with what was known.
		if c.known && cmp.Compare((high-c.estimate).Abs(), (low-c.estimate).Abs()) < 0 {
			low = high
		}
		c.estimate, c.known = low, true
	}
	return time.Unix(0, int64(c.estimate+boot)), len(offsets)
}
