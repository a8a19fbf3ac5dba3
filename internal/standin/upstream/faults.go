package upstream

import (
	"time"

	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

// Faults are the faults of a replica that last until they are switched off. The
// zero value is a healthy replica.
type Faults struct {
	Frozen       bool       // accepts connections and requests but does not answer
	RejectAll    bool       // rejects every request without executing it
	ReportedLoad *wire.Load // load to report in place of the actual one
	Poison       string     // a payload that contains this text crashes the replica
	SlowFactor   float64    // factor on service times; values below 1 count as 1
	SlowAbove    int        // SlowFactor applies only above this number of busy slots; 0: always
	ErrorRate    float64    // share of requests that fail after their execution
	Route        string     // route that SlowFactor and ErrorRate apply to; "": all

	Answer      AnswerFault
	AnswerRate  float64       // share of answers that Answer applies to
	AnswerDelay time.Duration // for AnswerLate
}

// AnswerFault is a fault in the transmission of an answer.
type AnswerFault string

// The faults of an answer.
const (
	AnswerIntact     AnswerFault = ""
	AnswerCut        AnswerFault = "cut"        // connection reset in the middle of the answer
	AnswerCrossed    AnswerFault = "crossed"    // the answer to an earlier request is sent instead
	AnswerTruncated  AnswerFault = "truncated"  // well-formed HTTP with half of the body
	AnswerDuplicated AnswerFault = "duplicated" // sent twice
	AnswerLate       AnswerFault = "late"       // delayed by AnswerDelay
)

// AnswerFaults lists all answer faults.
var AnswerFaults = []AnswerFault{AnswerCut, AnswerCrossed, AnswerTruncated, AnswerDuplicated, AnswerLate}

// appliesTo reports whether the faults limited to f.Route apply to route.
func (f *Faults) appliesTo(route string) bool { return f.Route == "" || f.Route == route }

// slowdown returns the factor on the service time of a request on route while
// running slots are busy, the request's own included.
func (f *Faults) slowdown(route string, running int) float64 {
	if f.SlowFactor <= 1 || !f.appliesTo(route) || running <= f.SlowAbove {
		return 1
	}
	return f.SlowFactor
}
