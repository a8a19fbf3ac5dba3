package entry

import (
	"encoding/json"
	"strconv"

	"github.com/sapphirewall/sapphirewall/internal/decide/coverage"
	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// answer is the result of a request that is not refused.
type answer struct {
	merge    tables.Merge
	snapshot uint64
	revision uint64
	coverage coverage.Coverage
	payloads [][]byte // of the covered parts, by pool and shard
	repeated bool     // stored answer of an earlier request with the same key
}

// answerOf returns the answer from a finished fan-out, or the verdict of the
// refusal.
func answerOf(req *request, p *plan, m *fanout.Machine) (*answer, *verdict.Error) {
	a := &answer{merge: req.route.Merge, snapshot: p.snapshot, revision: req.route.catalogue.state.Tables.Revision}
	parts := make([]coverage.Part, len(p.parts))
	for i := range p.parts {
		out := m.Outcome(i)
		parts[i] = coverage.Part{Pool: p.parts[i].Pool, Lo: p.parts[i].Lo, Hi: p.parts[i].Hi, Covered: out.Covered}
		if out.Covered {
			a.payloads = append(a.payloads, out.Payload)
			a.snapshot = out.Snapshot
		}
	}
	a.coverage = coverage.Of(parts)
	return a, refusalOf(req.route.Route, a.coverage, m)
}

// refusalOf returns the refusal of a request whose coverage is too low for the
// route, or nil. Its outcome is that of the parts. Its cause is LowCoverage, or
// that of the parts if all of them failed.
func refusalOf(r *tables.Route, c coverage.Coverage, m *fanout.Machine) *verdict.Error {
	parts := m.Verdict()
	v := *parts
	switch {
	case c.Covered == 0 && !m.Abandoned():
		v.Detail = "nothing is covered: " + parts.Detail
	case c.Covered < minCovered(r, c.Total):
		v.Cause = verdict.LowCoverage
		v.Detail = "only " + c.String() + " shards are covered: " + parts.Detail
	default:
		return nil
	}
	if v.RetryAfter <= 0 {
		v.RetryAfter = notReadyRetryAfter
	}
	return &v
}

// minCovered returns the number of shards out of total that a route needs for an
// answer.
func minCovered(r *tables.Route, total int) int {
	if !r.Partial || r.Kind == tables.Action {
		return total
	}
	n := int(r.MinCoverage * float64(total))
	if float64(n) < r.MinCoverage*float64(total) {
		n++
	}
	return max(n, 1)
}

// body returns the response body.
func (a *answer) body(requestID string) []byte {
	if a.merge == tables.MergeFirst {
		return a.payloads[0]
	}
	size := 256
	for _, p := range a.payloads {
		size += len(p) + 1
	}
	b := make([]byte, 0, size)
	b = append(b, `{"request_id":`...)
	b = appendString(b, requestID)
	b = append(b, `,"snapshot":`...)
	b = strconv.AppendUint(b, a.snapshot, 10)
	b = append(b, `,"coverage":`...)
	b = a.appendCoverage(b)
	if a.merge == tables.MergeSum {
		b = append(b, `,"sum":`...)
		b = sumOf(a.payloads).appendTo(b)
		return append(b, '}')
	}
	b = append(b, `,"parts":[`...)
	for i, p := range a.payloads {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, p...)
	}
	return append(b, "]}"...)
}

func (a *answer) appendCoverage(b []byte) []byte {
	b = append(b, `{"covered":`...)
	b = strconv.AppendInt(b, int64(a.coverage.Covered), 10)
	b = append(b, `,"total":`...)
	b = strconv.AppendInt(b, int64(a.coverage.Total), 10)
	b = append(b, `,"missing":[`...)
	for i, m := range a.coverage.Missing {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, m.String())
	}
	return append(b, "]}"...)
}

// appendString appends v as a JSON string.
func appendString(b []byte, v string) []byte {
	quoted, err := json.Marshal(v)
	if err != nil {
		return append(b, `""`...)
	}
	return append(b, quoted...)
}
