package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The promises that a run can break.
const (
	WholeAnswer  = "whole answer to its own request"
	OneSnapshot  = "one snapshot"
	TrueCoverage = "true coverage"
	TrueVerdict  = "true not-run verdict"
	AtMostOnce   = "non-idempotent at most once"
	NoHang       = "no hang past the deadline"
)

// Violation is a promise broken by one request.
type Violation struct {
	Promise string `json:"promise"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// Source is what the stand-ins hold and ran.
type Source interface {
	LayoutOf(snapshot uint64) (standin.Layout, bool)
}

// Checker judges results.
type Checker struct {
	Tables  *tables.Tables
	Source  Source
	Records []standin.Record // all of the run, once it has ended

	ran    map[string]bool            // request IDs
	sameBy map[string]map[string]bool // request IDs by idempotency key
}

// Judged is one result with its judgement.
type Judged struct {
	Result
	Kind       Kind
	Coverage   float64 // of an answer, 0 to 1
	Verdict    string  // of a refusal: outcome and cause
	Violations []Violation
}

// Kind sorts results.
type Kind uint8

// The kinds of result.
const (
	Whole Kind = iota
	Partial
	Refused
	NoAnswer // the connection failed or nothing came
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

// Check judges every result, and then the records.
func (c *Checker) Check(routes []Route, results []Result) []Judged {
	c.index(results)
	out := make([]Judged, len(results))
	for i, r := range results {
		out[i] = c.judge(c.Tables.Routes[routes[r.Shot.Route].Name], r)
	}
	c.checkActions(out)
	return out
}

func (c *Checker) index(results []Result) {
	c.ran = map[string]bool{}
	for _, r := range c.Records {
		if r.Ran {
			c.ran[r.Request] = true
		}
	}
	c.sameBy = map[string]map[string]bool{}
	for _, r := range results {
		if c.sameBy[r.Shot.Key] == nil {
			c.sameBy[r.Shot.Key] = map[string]bool{}
		}
		c.sameBy[r.Shot.Key][r.RequestID] = true
	}
}

func (c *Checker) judge(route *tables.Route, r Result) Judged {
	j := Judged{Result: r}
	switch {
	case r.Hung():
		j.Kind = NoAnswer
		j.fail(NoHang, "no answer from %s by %v past the deadline", r.Target, hangAfter)
	case r.Err != nil:
		j.Kind = NoAnswer
	case r.Status == 200:
		c.judgeAnswer(&j, route)
	default:
		j.judgeRefusal(c.ran)
	}
	return j
}

func (j *Judged) fail(promise, format string, args ...any) {
	j.Violations = append(j.Violations, Violation{promise, j.RequestID, fmt.Sprintf(format, args...)})
}

func (j *Judged) judgeRefusal(ran map[string]bool) {
	j.Kind = Refused
	var p verdict.Problem
	if err := json.Unmarshal(j.Body, &p); err != nil || p.Verdict == "" {
		j.fail(WholeAnswer, "refusal %d is no problem document: %q", j.Status, j.Body)
		return
	}
	j.Verdict = p.Verdict + " " + p.Cause
	if p.RequestID != j.RequestID {
		j.fail(WholeAnswer, "refusal of %s", p.RequestID)
	}
	if p.Verdict == verdict.NotRun.String() && ran[j.RequestID] {
		j.fail(TrueVerdict, "%s, but it ran", j.Verdict)
	}
}

// judgeAnswer checks an answer, and sets its kind and coverage.
func (c *Checker) judgeAnswer(j *Judged, route *tables.Route) {
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
		c.judgeSingle(j, route, layout, snapshot)
		return
	}
	var b body
	if err := json.Unmarshal(j.Body, &b); err != nil {
		j.fail(WholeAnswer, "body: %v", err)
		return
	}
	if b.RequestID != j.RequestID || b.Snapshot != snapshot {
		j.fail(WholeAnswer, "body is of request %q, snapshot %d", b.RequestID, b.Snapshot)
	}
	a := assembly{judged: j, layout: layout, snapshot: snapshot, pools: route.Pools}
	covered, total := a.coverage(route, b)
	j.Kind = Whole
	if covered < total {
		j.Kind = Partial
	}
	j.Coverage = float64(covered) / float64(max(total, 1))
	if want := fmt.Sprintf("%d/%d", covered, total); j.Result.Coverage != want || b.Coverage.Covered != covered || b.Coverage.Total != total {
		j.fail(TrueCoverage, "claims %s, covers %s", j.Result.Coverage, want)
	}
}

// judgeSingle checks the one part of an action or a "first" merge.
func (c *Checker) judgeSingle(j *Judged, route *tables.Route, layout standin.Layout, snapshot uint64) {
	var p standin.Part
	if err := json.Unmarshal(j.Body, &p); err != nil {
		j.fail(WholeAnswer, "body: %v", err)
		return
	}
	a := assembly{judged: j, layout: layout, snapshot: snapshot, pools: route.Pools}
	if j.Shot.Key != "" {
		a.same = c.sameBy[j.Shot.Key]
	}
	a.checkPart(p)
}

// assembly checks the parts of one answer against the layout of its snapshot.
type assembly struct {
	judged   *Judged
	layout   standin.Layout
	snapshot uint64
	pools    []string
	// same holds the requests with the idempotency key of this one: a repeated
	// key may get the answer of the first.
	same map[string]bool
}

// checkPart compares a part with the one that must be given.
func (a *assembly) checkPart(p standin.Part) {
	if p.Request != a.judged.RequestID && !a.same[p.Request] {
		a.judged.fail(WholeAnswer, "part of request %q", p.Request)
		return
	}
	if p.Snapshot != a.snapshot {
		a.judged.fail(OneSnapshot, "part of snapshot %d in an answer of %d", p.Snapshot, a.snapshot)
		return
	}
	if !isShard(a.layout[p.Pool], p.Lo, p.Hi) {
		a.judged.fail(TrueCoverage, "part %s:%d-%d is no shard of the snapshot", p.Pool, p.Lo, p.Hi)
		return
	}
	if want := standin.NewPart(p.Request, p.Pool, p.Snapshot, p.Lo, p.Hi, a.judged.Shot.Payload); p != want {
		a.judged.fail(WholeAnswer, "part %+v, want %+v", p, want)
	}
}

func isShard(bounds []uint32, lo, hi uint32) bool {
	i := sort.Search(len(bounds), func(i int) bool { return bounds[i] >= lo })
	return i+1 < len(bounds) && bounds[i] == lo && bounds[i+1] == hi
}

// shardsIn names the shards that a missing range is made of; none if it does not
// begin and end at bounds of shards.
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

// coverage recomputes covered and total shards; missing ranges and parts must
// name each shard of the snapshot once.
func (a *assembly) coverage(route *tables.Route, b body) (covered, total int) {
	missing, err := parseMissing(a.judged.Missing)
	if err != nil {
		a.judged.fail(TrueCoverage, "missing: %v", err)
	}
	seen := map[string]int{}
	lost := 0
	for _, m := range missing {
		names := shardsIn(a.layout[m.pool], m)
		if len(names) == 0 {
			a.judged.fail(TrueCoverage, "missing %s is no row of shards", m)
		}
		for _, name := range names {
			seen[name]++
			lost++
		}
	}
	sum := uint64(0)
	for _, pool := range a.pools {
		bounds := a.layout[pool]
		total += len(bounds) - 1
		sum += standin.Sum(pool, a.snapshot, 0, tables.KeySpace, a.judged.Shot.Payload)
	}
	if route.Merge == tables.MergeSum {
		for _, m := range missing {
			sum -= standin.Sum(m.pool, a.snapshot, m.Lo, m.Hi, a.judged.Shot.Payload)
		}
		if b.Sum == nil || *b.Sum != float64(sum) {
			a.judged.fail(TrueCoverage, "sum differs from %d, the sum of what is covered", sum)
		}
		return total - lost, total
	}
	for _, p := range b.Parts {
		a.checkPart(p)
		seen[shard{p.Pool, upstream.Range{Lo: p.Lo, Hi: p.Hi}}.String()]++
	}
	for name, n := range seen {
		if n > 1 {
			a.judged.fail(TrueCoverage, "%s counts %d times", name, n)
		}
	}
	if len(seen) != total {
		a.judged.fail(TrueCoverage, "parts and missing name %d of %d shards", len(seen), total)
	}
	return len(b.Parts), total
}

// shard is a key range of a pool.
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

// checkActions counts the runs of each action over all sends of its key.
func (c *Checker) checkActions(judged []Judged) {
	runs := map[string]int{}
	for _, r := range c.Records {
		if r.Ran && !r.Idempotent {
			runs[r.PayloadHash]++
		}
	}
	for i := range judged {
		j := &judged[i]
		if j.Shot.Key == "" {
			continue
		}
		if n := runs[standin.PayloadHash(j.Shot.Payload)]; n > 1 {
			j.fail(AtMostOnce, "key %s ran %d times", j.Shot.Key, n)
		}
	}
}
