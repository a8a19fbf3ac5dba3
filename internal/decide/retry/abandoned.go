package retry

import "time"

// maxPause is how long an upstream may be paused and still execute what it was sent
// before. Without an answer from it until then, that is taken to be lost.
const maxPause = time.Minute

// abandoned is the attempts that were given up and may still arrive.
type abandoned struct {
	byUpstream map[string][]abandonedAttempt // oldest first
	nextExpiry time.Time                     // zero: there are none
}

type abandonedAttempt struct {
	at   time.Time // when it was given up
	part *Part
}

func (a *abandoned) add(now time.Time, upstream string, p *Part) {
	if a.byUpstream == nil {
		a.byUpstream = map[string][]abandonedAttempt{}
	}
	a.byUpstream[upstream] = append(a.byUpstream[upstream], abandonedAttempt{now, p})
	if a.nextExpiry.IsZero() {
		a.nextExpiry = now.Add(maxPause)
	}
}

// takeBefore removes and returns the attempts at an upstream that were given up
// before a time.
func (a *abandoned) takeBefore(upstream string, end time.Time) []*Part {
	list := a.byUpstream[upstream]
	n := 0
	for n < len(list) && list[n].at.Before(end) {
		n++
	}
	if n == 0 {
		return nil
	}
	parts := make([]*Part, n)
	for i := range parts {
		parts[i] = list[i].part
	}
	if n == len(list) {
		delete(a.byUpstream, upstream)
	} else {
		a.byUpstream[upstream] = list[n:]
	}
	return parts
}

// takeExpired removes and returns the attempts that were given up longer than
// maxPause ago.
func (a *abandoned) takeExpired(now time.Time) []*Part {
	if a.nextExpiry.IsZero() || now.Before(a.nextExpiry) {
		return nil
	}
	a.nextExpiry = time.Time{}
	var parts []*Part
	for upstream := range a.byUpstream {
		parts = append(parts, a.takeBefore(upstream, now.Add(-maxPause))...)
	}
	for _, list := range a.byUpstream {
		if at := list[0].at.Add(maxPause); a.nextExpiry.IsZero() || at.Before(a.nextExpiry) {
			a.nextExpiry = at
		}
	}
	return parts
}
