package hedge

import "time"

// RecheckInterval is the time after which a late part is checked again when no
// replica had room for its hedge.
const RecheckInterval = time.Millisecond

// roomShare is the share of a replica's limit below which it gets hedges. At a
// higher load, a hedge would make first attempts wait.
const roomShare = 0.5

// HasRoom reports whether a replica has room for a hedge. busy is the number of
// its requests at its owner. A limit of 0 means that the limit is unknown; the
// replica then always has room.
func HasRoom(busy, limit int) bool {
	return limit == 0 || float64(busy) < roomShare*float64(limit)
}
