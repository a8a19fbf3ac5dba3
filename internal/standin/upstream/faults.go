package upstream

import (
	"time"

	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

// Faults are the faults of a replica that stay on until they are switched off.
// The zero value is a healthy replica. Faults with a Route strike that route
// alone; an empty Route strikes all.
type Faults struct {
	Frozen       bool       // accepts connections and requests, answers nothing
	RejectAll    bool       // refuses every run as not run
	ReportedLoad *wire.Load // reported in place of the true load
	Poison       string     // a payload that holds this mark crashes the replica
	SlowFactor   float64    // service times are multiplied; below 1 counts as 1
	SlowAbove    int        // Slow strikes only above this many running; 0: always
	ErrorRate    float64    // share of runs that fail after having run
	Route        string     // route that Slow and Errors strike

	Answer      AnswerFault
	AnswerRate  float64       // share of answers that Answer strikes
	AnswerDelay time.Duration // for AnswerLate
}

// AnswerFault is a way of spoiling an answer.
type AnswerFault string

// The ways of spoiling an answer.
const (
	AnswerIntact     AnswerFault = ""
	AnswerCut        AnswerFault = "cut"        // connection reset in the middle
	AnswerCrossed    AnswerFault = "crossed"    // the answer to an earlier request
	AnswerTruncated  AnswerFault = "truncated"  // well-formed HTTP, half the body
	AnswerDuplicated AnswerFault = "duplicated" // sent twice
	AnswerLate       AnswerFault = "late"       // held back for Late
)

// AnswerFaults lists the ways of spoiling an answer.
var AnswerFaults = []AnswerFault{AnswerCut, AnswerCrossed, AnswerTruncated, AnswerDuplicated, AnswerLate}

// strikes says whether a fault limited to f.Route strikes route.
func (f *Faults) strikes(route string) bool { return f.Route == "" || f.Route == route }

// slowdown is the factor on service times for a run on route beside running
// others.
func (f *Faults) slowdown(route string, running int) float64 {
	if f.SlowFactor <= 1 || !f.strikes(route) || running <= f.SlowAbove {
		return 1
	}
	return f.SlowFactor
}
