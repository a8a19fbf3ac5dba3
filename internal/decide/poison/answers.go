package poison

import "time"

const (
	// answerMemory is how long an answered request is known to be harmless, at least; at most
	// twice as long. A request that begins to crash upstreams is found after it, so it is
	// below the time that the platform allows for that, four seconds or more.
	answerMemory = 1500 * time.Millisecond
	// maxAnswered bounds the requests that are answered within answerMemory.
	maxAnswered = 4096
)

// answers remembers which requests were answered lately.
type answers struct {
	current, previous map[uint64]struct{}
	begun             time.Time // of current
}

func newAnswers() answers {
	return answers{current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}}
}

// record records an answer.
func (a *answers) record(now time.Time, fp uint64) {
	a.forget(now)
	if len(a.current) < maxAnswered {
		a.current[fp] = struct{}{}
	}
}

// recently reports whether a request was answered lately.
func (a *answers) recently(now time.Time, fp uint64) bool {
	a.forget(now)
	_, inCurrent := a.current[fp]
	_, inPrevious := a.previous[fp]
	return inCurrent || inPrevious
}

// forget drops the answers that are too old.
func (a *answers) forget(now time.Time) {
	age := now.Sub(a.begun)
	if age < answerMemory {
		return
	}
	a.current, a.previous = a.previous, a.current
	clear(a.current)
	if age >= 2*answerMemory {
		clear(a.previous)
	}
	a.begun = now
}
