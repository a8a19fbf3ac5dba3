package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
)

// The upper limit of the histograms in microseconds, and their significant
// digits.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// RouteReport summarizes the results of one route.
type RouteReport struct {
	Route    string         `json:"route"`
	Asked    int            `json:"asked"`
	Complete int            `json:"whole"`
	Partial  int            `json:"partial"`
	Coverage float64        `json:"coverage"` // mean of all answers, from 0 to 1
	Refused  map[string]int `json:"refused"`  // by outcome and cause
	NoAnswer int            `json:"no_answer"`
	P50MS    float64        `json:"p50_ms"`
	P99MS    float64        `json:"p99_ms"`
	P999MS   float64        `json:"p999_ms"`
	MaxMS    float64        `json:"max_ms"`

	histogram *hdrhistogram.Histogram
	coverage  float64
}

// Summary summarizes the results of a run.
type Summary struct {
	Routes     []*RouteReport `json:"routes"`
	All        *RouteReport   `json:"all"`
	Violations []Violation    `json:"violations"`
	// ExtraLoad is the number of repeated executions of idempotent parts at
	// upstreams, divided by the number of executed parts.
	ExtraLoad float64 `json:"extra_load"`
	// Upstreams counts the attempts that the stand-ins received, by outcome.
	Upstreams map[string]int `json:"upstreams"`
}

// NewSummary summarizes checked results and the records of the stand-ins.
func NewSummary(routes []Route, results []CheckedResult, records []standin.Record) *Summary {
	s := &Summary{All: newRouteReport("all"), Upstreams: map[string]int{}}
	for _, r := range routes {
		s.Routes = append(s.Routes, newRouteReport(r.Name))
	}
	for i := range results {
		s.Routes[results[i].Request.Route].add(&results[i])
		s.All.add(&results[i])
		s.Violations = append(s.Violations, results[i].Violations...)
	}
	for _, r := range append([]*RouteReport{s.All}, s.Routes...) {
		r.finish()
	}
	s.countRecords(records)
	return s
}

// Summarize summarizes results in a single report under the given name.
func Summarize(name string, results []CheckedResult) *RouteReport {
	r := newRouteReport(name)
	for i := range results {
		r.add(&results[i])
	}
	r.finish()
	return r
}

func newRouteReport(name string) *RouteReport {
	return &RouteReport{Route: name, Refused: map[string]int{}, histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (r *RouteReport) add(j *CheckedResult) {
	r.Asked++
	_ = r.histogram.RecordValue(min(max(j.Latency().Microseconds(), 1), histogramMax))
	switch j.Kind {
	case Complete:
		r.Complete++
	case Partial:
		r.Partial++
	case Refused:
		r.Refused[j.Verdict]++
	case NoAnswer:
		r.NoAnswer++
	}
	if j.Kind <= Partial {
		r.coverage += j.Coverage
	}
}

func (r *RouteReport) finish() {
	quantile := func(q float64) float64 {
		return float64(r.histogram.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	r.P50MS, r.P99MS, r.P999MS = quantile(50), quantile(99), quantile(99.9)
	r.MaxMS = quantile(100)
	if n := r.Complete + r.Partial; n > 0 {
		r.Coverage = r.coverage / float64(n)
	}
}

// Answered returns the share of requests with a complete or partial answer.
func (r *RouteReport) Answered() float64 {
	return float64(r.Complete+r.Partial) / float64(max(r.Asked, 1))
}

func (s *Summary) countRecords(records []standin.Record) {
	type part struct {
		request, pool string
		lo            uint32
	}
	distinct := map[part]bool{}
	executed := 0
	for _, r := range records {
		s.Upstreams[string(r.Outcome)]++
		if r.Ran && r.Idempotent {
			executed++
			distinct[part{r.Request, r.Pool, r.Lo}] = true
		}
	}
	if len(distinct) > 0 {
		s.ExtraLoad = float64(executed)/float64(len(distinct)) - 1
	}
}

// WriteText writes a table with one line for each route, the extra load and the
// first violations.
func (s *Summary) WriteText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "route\tasked\twhole\tpartial\tcoverage\trefused\tno answer\tp50 ms\tp99 ms")
	for _, r := range append(s.Routes[:len(s.Routes):len(s.Routes)], s.All) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f%%\t%s\t%d\t%.1f\t%.1f\n", r.Route, r.Asked, r.Complete, r.Partial,
			100*r.Coverage, formatRefusals(r.Refused), r.NoAnswer, r.P50MS, r.P99MS)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "extra load on upstreams: %.2f%%\n", 100*s.ExtraLoad)
	for i, v := range s.Violations {
		if i == maxListedViolations {
			_, _ = fmt.Fprintf(w, "... and %d more\n", len(s.Violations)-maxListedViolations)
			break
		}
		_, _ = fmt.Fprintf(w, "BROKEN %s: %s: %s\n", v.Promise, v.Request, v.Detail)
	}
}

// maxListedViolations limits the violations that WriteText writes.
const maxListedViolations = 20

func formatRefusals(by map[string]int) string {
	if len(by) == 0 {
		return "0"
	}
	var parts []string
	for v, n := range by {
		parts = append(parts, fmt.Sprintf("%d %s", n, v))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
