//go:build unix

package hostlimits

import "golang.org/x/sys/unix"

// processLimits returns the limits of the process itself. A limit on its address space or its
// data is one on its memory too.
func processLimits() Limits {
	l := Limits{Memory: least(resource(unix.RLIMIT_AS), resource(unix.RLIMIT_DATA))}
	l.Descriptors = int(resource(unix.RLIMIT_NOFILE))
	return l
}

// resource returns a limit of the process, or 0 if it has none.
func resource(which int) int64 {
	var r unix.Rlimit
	if unix.Getrlimit(which, &r) != nil || r.Cur >= noLimit {
		return 0
	}
	return int64(r.Cur)
}
