package hedge

import "time"

// RecheckInterval is the time after which a late part is looked at again when no replica
// had room for its hedge.
const RecheckInterval = time.Millisecond

// roomShare is the share of a replica's limit up to which it takes hedges. At a
// replica that is fuller, a hedge would make fresh requests wait.
const roomShare = 0.5

// HasRoom reports whether a replica with busy requests at its owner, under
// limit, takes a hedge. A limit that is not known (0) refuses none.
func HasRoom(busy, limit int) bool {
	return limit == 0 || float64(busy) < roomShare*float64(limit)
}
