// Package boottime reads a clock that goes on while the VM is suspended and that no step
// of the wall clock changes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started, including suspensions
// (CLOCK_BOOTTIME). CLOCK_MONOTONIC, which time.Now uses, does not count them.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // Linux has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
