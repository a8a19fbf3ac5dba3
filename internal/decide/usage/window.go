package usage

import "time"

// The parts of the due time at which a window closes. A caller's request is known to have
// begun when its first answer arrives at the latest, which is up to its time budget after
// the end of the window.
const (
	finalShare = 0.62
	sealShare  = 0.75
)

// Kept is the number of windows of which counts are kept in memory and in the store.
const Kept = 16

// Windows is the division of true time into windows. Window k begins k lengths after the
// start of 1970.
type Windows struct {
	Length time.Duration
	Due    time.Duration // after the end of a window, for its report
}

// At returns the window of a time.
func (w Windows) At(t time.Time) int64 { return floorDiv(t.UnixNano(), int64(w.Length)) }

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

// Final reports whether a VM counts nothing more for a window.
func (w Windows) Final(now time.Time, window int64) bool {
	return !now.Before(w.End(window).Add(w.scaled(finalShare)))
}

// sealBy returns when a window is sealed although counts may be missing.
func (w Windows) sealBy(window int64) time.Time { return w.End(window).Add(w.scaled(sealShare)) }

// unsealable returns the first window that no reporter can have sealed by now, also if the
// estimates of true time of two VMs differ by a tenth of the due time.
func (w Windows) unsealable(now time.Time) int64 {
	return w.At(now.Add(w.scaled(0.1) - w.scaled(finalShare)))
}

func (w Windows) scaled(share float64) time.Duration {
	return time.Duration(share * float64(w.Due))
}

func floorDiv(a, b int64) int64 {
	q := a / b
	if a%b < 0 {
		q--
	}
	return q
}
