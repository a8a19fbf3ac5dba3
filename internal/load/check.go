package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/sapphirewall/sapphirewall/internal/httpreply"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The promises to callers that a Checker verifies.
const (
	CompleteAnswer = "whole answer to its own request"
	OneSnapshot    = "one snapshot"
	TrueCoverage   = "true coverage"
	TrueVerdict    = "true not-run verdict"
	AtMostOnce     = "non-idempotent at most once"
	NoHang         = "no hang past the deadline"
)

// Violation reports that the result of one request breaks a promise.
type Violation struct {
	Promise string `json:"promise"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// LayoutSource gives the shard layout of each snapshot that the stand-ins have
// published.
type LayoutSource interface {
	LayoutOf(snapshot uint64) (standin.Layout, bool)
}

// Checker verifies results against the data and the records of the stand-ins.
type Checker struct {
	Tables  *tables.Tables
	Source  LayoutSource
	Records []standin.Record // all records of the run, read after its end

	executed map[string]bool            // by request ID
	idsByKey map[string]map[string]bool // request IDs by idempotency key
}

// CheckedResult is a result with its classification and the promises that it
// breaks.
type CheckedResult struct {
	Result
	Kind       Kind
	Coverage   float64 // of an answer, from 0 to 1
	Verdict    string  // outcome and cause of a refusal
	Violations []Violation
}

// Kind classifies results.
type Kind uint8

// The kinds of results. Complete and Partial are answers.
const (
	Complete Kind = iota
	Partial
	Refused
	NoAnswer // the connection failed or the request timed out
)

// body is the body of a merged answer.
type body struct {
	RequestID string `json:"request_id"`
	Snapshot  uint64 `json:"snapshot"`
	Coverage  struct {
		Covered int `json:"covered"`
		Total   int `json:"total"`
	} `json:"coverage"`
	Parts []standin.Part `json:"parts"`
	Sum   *float64       `json:"sum"`
}

// Check verifies each result by itself, and then the executions of each action.
func (c *Checker) Check(routes []Route, results []Result) []CheckedResult {
	c.index(results)
	checked := make([]CheckedResult, len(results))
	for i, r := range results {
		checked[i] = c.checkResult(c.Tables.Routes[routes[r.Request.Route].Name], r)
	}
	c.checkActions(checked)
	return checked
}

func (c *Checker) index(results []Result) {
	c.executed = map[string]bool{}
	for _, r := range c.Records {
		if r.Ran {
			c.executed[r.Request] = true
		}
	}
	c.idsByKey = map[string]map[string]bool{}
	for _, r := range results {
		if c.idsByKey[r.Request.Key] == nil {
			c.idsByKey[r.Request.Key] = map[string]bool{}
		}
		c.idsByKey[r.Request.Key][r.RequestID] = true
	}
}

func (c *Checker) checkResult(route *tables.Route, r Result) CheckedResult {
	j := CheckedResult{Result: r}
	switch {
	case r.Hung():
		j.Kind = NoAnswer
		j.fail(NoHang, "no answer from %s by %v past the deadline", r.Target, hangMargin)
	case httpreply.IsMalformed(r.Err):
		j.Kind = NoAnswer
		j.fail(CompleteAnswer, "bytes from %s that are no answer: %v", r.Target, r.Err)
	case r.Err != nil:
		j.Kind = NoAnswer
	case r.Status == 200:
		c.checkAnswer(&j, route)
	default:
		j.checkRefusal(c.executed)
	}
	return j
}

func (j *CheckedResult) fail(promise, format string, args ...any) {
	j.Violations = append(j.Violations, Violation{promise, j.RequestID, fmt.Sprintf(format, args...)})
}

func (j *CheckedResult) checkRefusal(executed map[string]bool) {
	j.Kind = Refused
	var p verdict.Problem
	if err := json.Unmarshal(j.Body, &p); err != nil || p.Verdict == "" {
		j.fail(CompleteAnswer, "refusal %d is no problem document: %q", j.Status, j.Body)
		return
	}
	j.Verdict = p.Verdict + " " + p.Cause
	if p.RequestID != j.RequestID {
		j.fail(CompleteAnswer, "refusal of %s", p.RequestID)
	}
	if p.Verdict == verdict.NotRun.String() && executed[j.RequestID] {
		j.fail(TrueVerdict, "%s, but it ran", j.Verdict)
	}
}

// checkAnswer checks an answer and sets its kind and coverage.
func (c *Checker) checkAnswer(j *CheckedResult, route *tables.Route) {
	snapshot, err := strconv.ParseUint(j.Snapshot, 10, 64)
	if err != nil {
		j.fail(OneSnapshot, "snapshot header %q", j.Snapshot)
		return
	}
	layout, ok := c.Source.LayoutOf(snapshot)
	if !ok {
		j.fail(OneSnapshot, "snapshot %d was never published", snapshot)
		return
	}
	if route.Merge == tables.MergeFirst || route.Kind == tables.Action {
		j.Coverage = 1
		c.checkSingle(j, route, layout, snapshot)
		return
	}
	var b body
	if err := json.Unmarshal(j.Body, &b); err != nil {
		j.fail(CompleteAnswer, "body: %v", err)
		return
	}
	if b.RequestID != j.RequestID || b.Snapshot != snapshot {
		j.fail(CompleteAnswer, "body is of request %q, snapshot %d", b.RequestID, b.Snapshot)
	}
	a := answerCheck{result: j, layout: layout, snapshot: snapshot, pools: route.Pools}
	covered, total := a.coverage(route, b)
	j.Kind = Complete
	if covered < total {
		j.Kind = Partial
	}
	j.Coverage = float64(covered) / float64(max(total, 1))
	if want := fmt.Sprintf("%d/%d", covered, total); j.Result.Coverage != want || b.Coverage.Covered != covered || b.Coverage.Total != total {
		j.fail(TrueCoverage, "claims %s, covers %s", j.Result.Coverage, want)
	}
}

// checkSingle checks the single part that answers an action or a query merged
// by "first".
func (c *Checker) checkSingle(j *CheckedResult, route *tables.Route, layout standin.Layout, snapshot uint64) {
	var p standin.Part
	if err := json.Unmarshal(j.Body, &p); err != nil {
		j.fail(CompleteAnswer, "body: %v", err)
		return
	}
	a := answerCheck{result: j, layout: layout, snapshot: snapshot, pools: route.Pools}
	if j.Request.Key != "" {
		a.requestIDs = c.idsByKey[j.Request.Key]
	}
	a.checkPart(p)
}

// answerCheck checks the parts of one answer against the layout of its snapshot.
type answerCheck struct {
	result   *CheckedResult
	layout   standin.Layout
	snapshot uint64
	pools    []string
	// requestIDs holds the IDs of all requests with the same idempotency key. A
	// request that repeats a key may get the answer to the first one.
	requestIDs map[string]bool
}

// checkPart compares a part with the answer that the stand-in must give.
func (a *answerCheck) checkPart(p standin.Part) {
	if p.Request != a.result.RequestID && !a.requestIDs[p.Request] {
		a.result.fail(CompleteAnswer, "part of request %q", p.Request)
		return
	}
	if p.Snapshot != a.snapshot {
		a.result.fail(OneSnapshot, "part of snapshot %d in an answer of %d", p.Snapshot, a.snapshot)
		return
	}
	if !isShard(a.layout[p.Pool], p.Lo, p.Hi) {
		a.result.fail(TrueCoverage, "part %s:%d-%d is no shard of the snapshot", p.Pool, p.Lo, p.Hi)
		return
	}
	if want := standin.NewPart(p.Request, p.Pool, p.Snapshot, p.Lo, p.Hi, a.result.Request.Payload); p != want {
		a.result.fail(CompleteAnswer, "part %+v, want %+v", p, want)
	}
}

func isShard(bounds []uint32, lo, hi uint32) bool {
	i := sort.Search(len(bounds), func(i int) bool { return bounds[i] >= lo })
	return i+1 < len(bounds) && bounds[i] == lo && bounds[i+1] == hi
}

// shardsIn returns the names of the shards in a missing range. It returns nil if
// the range does not start and end at shard bounds.
func shardsIn(bounds []uint32, m shard) []string {
	var out []string
	lo := m.Lo
	for i := 0; i+1 < len(bounds) && lo < m.Hi; i++ {
		if bounds[i] == lo {
			out = append(out, shard{m.pool, upstream.Range{Lo: lo, Hi: bounds[i+1]}}.String())
			lo = bounds[i+1]
		}
	}
	if lo != m.Hi {
		return nil
	}
	return out
}

// coverage counts the covered shards and all shards. The missing ranges and the
// parts together must name each shard of the snapshot exactly once.
func (a *answerCheck) coverage(route *tables.Route, b body) (covered, total int) {
	missing, err := parseMissing(a.result.Missing)
	if err != nil {
		a.result.fail(TrueCoverage, "missing: %v", err)
	}
	seen := map[string]int{}
	numMissing := 0
	for _, m := range missing {
		names := shardsIn(a.layout[m.pool], m)
		if len(names) == 0 {
			a.result.fail(TrueCoverage, "missing %s is no row of shards", m)
		}
		for _, name := range names {
			seen[name]++
			numMissing++
		}
	}
	sum := uint64(0)
	for _, pool := range a.pools {
		bounds := a.layout[pool]
		total += len(bounds) - 1
		sum += standin.Sum(pool, a.snapshot, 0, tables.KeySpace, a.result.Request.Payload)
	}
	if route.Merge == tables.MergeSum {
		for _, m := range missing {
			sum -= standin.Sum(m.pool, a.snapshot, m.Lo, m.Hi, a.result.Request.Payload)
		}
		if b.Sum == nil || *b.Sum != float64(sum) {
			a.result.fail(TrueCoverage, "sum differs from %d, the sum of what is covered", sum)
		}
		return total - numMissing, total
	}
	for _, p := range b.Parts {
		a.checkPart(p)
		seen[shard{p.Pool, upstream.Range{Lo: p.Lo, Hi: p.Hi}}.String()]++
	}
	for name, n := range seen {
		if n > 1 {
			a.result.fail(TrueCoverage, "%s counts %d times", name, n)
		}
	}
	if len(seen) != total {
		a.result.fail(TrueCoverage, "parts and missing name %d of %d shards", len(seen), total)
	}
	return len(b.Parts), total
}

// shard is one key range of a pool.
type shard struct {
	pool string
	upstream.Range
}

func (s shard) String() string { return s.pool + ":" + s.Range.String() }

var errMissing = errors.New("malformed list of missing shards")

func parseMissing(v string) ([]shard, error) {
	if v == "" {
		return nil, nil
	}
	var out []shard
	for _, item := range strings.Split(v, ",") {
		pool, text, ok := strings.Cut(strings.TrimSpace(item), ":")
		r, err := upstream.ParseRange(text)
		if !ok || err != nil {
			return nil, fmt.Errorf("%w: %q", errMissing, v)
		}
		out = append(out, shard{pool, r})
	}
	return out, nil
}

// checkActions checks that no action was executed more than once. The executions
// of all requests that carry the same key count together.
func (c *Checker) checkActions(results []CheckedResult) {
	executions := map[string]int{}
	for _, r := range c.Records {
		if r.Ran && !r.Idempotent {
			executions[r.PayloadHash]++
		}
	}
	for i := range results {
		j := &results[i]
		if j.Request.Key == "" {
			continue
		}
		if n := executions[standin.PayloadHash(j.Request.Payload)]; n > 1 {
			j.fail(AtMostOnce, "key %s ran %d times", j.Request.Key, n)
		}
	}
}
