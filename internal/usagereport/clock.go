package usagereport

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since boot. It counts suspensions, unlike the monotonic clock
// of package time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
