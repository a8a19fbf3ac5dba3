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

// The range and precision of the histograms, in microseconds.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// RouteReport sums up the results of one route.
type RouteReport struct {
	Route    string         `json:"route"`
	Asked    int            `json:"asked"`
	Complete int            `json:"whole"`
	Partial  int            `json:"partial"`
	Coverage float64        `json:"coverage"` // mean over all answers, 0 to 1
	Refused  map[string]int `json:"refused"`  // by outcome and cause
	NoAnswer int            `json:"no_answer"`
	P50MS    float64        `json:"p50_ms"`
	P99MS    float64        `json:"p99_ms"`
	P999MS   float64        `json:"p999_ms"`
	MaxMS    float64        `json:"max_ms"`

	histogram *hdrhistogram.Histogram
	coverage  float64
}

// Summary sums up a run.
type Summary struct {
	Routes     []*RouteReport `json:"routes"`
	All        *RouteReport   `json:"all"`
	Violations []Violation    `json:"violations"`
	// ExtraLoad is the share of runs at upstreams beyond one for each part.
	ExtraLoad float64 `json:"extra_load"`
	// Upstreams counts the requests at the stand-ins by outcome.
	Upstreams map[string]int `json:"upstreams"`
}

// NewSummary sums up judged results and records.
func NewSummary(routes []Route, judged []CheckedResult, records []standin.Record) *Summary {
	rep := &Summary{All: newRouteReport("all"), Upstreams: map[string]int{}}
	for _, r := range routes {
		rep.Routes = append(rep.Routes, newRouteReport(r.Name))
	}
	for i := range judged {
		rep.Routes[judged[i].Request.Route].add(&judged[i])
		rep.All.add(&judged[i])
		rep.Violations = append(rep.Violations, judged[i].Violations...)
	}
	for _, r := range append([]*RouteReport{rep.All}, rep.Routes...) {
		r.finish()
	}
	rep.countRecords(records)
	return rep
}

// Summarize sums up results as those of one route.
func Summarize(name string, judged []CheckedResult) *RouteReport {
	r := newRouteReport(name)
	for i := range judged {
		r.add(&judged[i])
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

// Answered is the share of requests that got an answer, whole or partial.
func (r *RouteReport) Answered() float64 {
	return float64(r.Complete+r.Partial) / float64(max(r.Asked, 1))
}

func (rep *Summary) countRecords(records []standin.Record) {
	type part struct {
		request, pool string
		lo            uint32
	}
	distinct := map[part]bool{}
	ran := 0
	for _, r := range records {
		rep.Upstreams[string(r.Outcome)]++
		if r.Ran && r.Idempotent {
			ran++
			distinct[part{r.Request, r.Pool, r.Lo}] = true
		}
	}
	if len(distinct) > 0 {
		rep.ExtraLoad = float64(ran)/float64(len(distinct)) - 1
	}
}

// WriteText writes the report as a table with one line a route.
func (rep *Summary) WriteText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "route\tasked\twhole\tpartial\tcoverage\trefused\tno answer\tp50 ms\tp99 ms")
	for _, r := range append(rep.Routes[:len(rep.Routes):len(rep.Routes)], rep.All) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f%%\t%s\t%d\t%.1f\t%.1f\n", r.Route, r.Asked, r.Complete, r.Partial,
			100*r.Coverage, refusals(r.Refused), r.NoAnswer, r.P50MS, r.P99MS)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "extra load on upstreams: %.2f%%\n", 100*rep.ExtraLoad)
	for i, v := range rep.Violations {
		if i == maxListed {
			_, _ = fmt.Fprintf(w, "... and %d more\n", len(rep.Violations)-maxListed)
			break
		}
		_, _ = fmt.Fprintf(w, "BROKEN %s: %s: %s\n", v.Promise, v.Request, v.Detail)
	}
}

// maxListed bounds the violations that are written out.
const maxListed = 20

func refusals(by map[string]int) string {
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
