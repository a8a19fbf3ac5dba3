//go:build !linux

package sockstat

import (
	"net"
	"time"
)

// Unacknowledged reports that the kernel doesn't tell.
func Unacknowledged(net.Conn) (n int, ok bool) { return 0, false }

// SinceReceived reports that the kernel doesn't tell.
func SinceReceived(net.Conn) (d time.Duration, ok bool) { return 0, false }

// Ended reports that the kernel doesn't tell.
func Ended(net.Conn) bool { return false }

// RoundTrip reports that the kernel doesn't tell.
func RoundTrip(net.Conn) (d time.Duration, ok bool) { return 0, false }
