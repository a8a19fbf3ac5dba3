package admission

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which past requests lose half of their weight. A VM
	// with one request every two seconds still has some of each kind in it.
	shareHalfLife = 10 * time.Second
	// floorShare is the least share of a kind's requests that is admitted, relative to
	// the share of all requests. The bound is a quarter; the rest covers requests that
	// are admitted and not served.
	floorShare = 0.35
	// minOffered is the weight of a kind's past requests from which its floor holds.
	minOffered = 2
	// maxShares bounds the number of kinds whose floors are kept.
	maxShares = 4096
)

// shares counts offered and admitted requests by kind, with decay, and finds the kinds
// that get less than their floor.
type shares struct {
	all    share
	byKind map[string]*share
}

type share struct {
	offered, admitted float64
	at                time.Time
}

func newShares() shares { return shares{byKind: map[string]*share{}} }

// count records the decision on a request of a kind.
func (s *shares) count(now time.Time, kind string, admitted bool) {
	k := s.byKind[kind]
	if k == nil {
		if len(s.byKind) >= maxShares {
			s.drop(now)
		}
		k = &share{}
		s.byKind[kind] = k
	}
	for _, x := range []*share{&s.all, k} {
		x.decay(now)
		x.offered++
		if admitted {
			x.admitted++
		}
	}
}

// belowFloor reports whether a kind gets less than its floor.
func (s *shares) belowFloor(now time.Time, kind string) bool {
	k := s.byKind[kind]
	if k == nil {
		return false
	}
	k.decay(now)
	s.all.decay(now)
	return k.offered >= minOffered && s.all.admitted > 0 &&
		k.admitted/k.offered < floorShare*s.all.admitted/s.all.offered
}

// drop removes the kinds without recent requests, or all if there are none.
func (s *shares) drop(now time.Time) {
	before := len(s.byKind)
	for name, k := range s.byKind {
		if k.decay(now); k.offered < 0.5 {
			delete(s.byKind, name)
		}
	}
	if len(s.byKind) == before {
		clear(s.byKind)
	}
}

func (s *share) decay(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		if !s.at.IsZero() {
			f := math.Exp2(-float64(d) / float64(shareHalfLife))
			s.offered, s.admitted = s.offered*f, s.admitted*f
		}
		s.at = now
	}
}
