package gather

import "time"

const (
	// processingMargin covers merging, late timers and writing the answer.
	processingMargin = 8 * time.Millisecond
	// assumedTravel is the time on the network if it isn't known: a few times that
	// within a region.
	assumedTravel = 4 * time.Millisecond
	// maxTravelShare bounds the part of a latency objective that is reserved for the
	// network.
	maxTravelShare = 0.25
)

// AnswerBy returns when a query that arrived at a time is answered without the parts that
// are late, so that its caller has the answer within the latency objective. travel is the
// part of the caller's time that is spent on the network, before and after; 0: not known.
func AnswerBy(arrived time.Time, objective, travel time.Duration) time.Time {
	if travel <= 0 {
		travel = assumedTravel
	}
	travel = min(travel, time.Duration(maxTravelShare*float64(objective)))
	return arrived.Add(objective - travel - processingMargin)
}
