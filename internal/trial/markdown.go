package trial

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
)

// ErrUnknownName is returned for an unknown scenario or policy.
var ErrUnknownName = errors.New("trial: unknown scenario or policy")

// CheckNames returns ErrUnknownName if o names an unknown scenario or policy.
func CheckNames(o Options) error {
	for _, s := range o.Scenarios {
		if scenarios[s] == nil {
			return fmt.Errorf("%w: scenario %q; use one of %s", ErrUnknownName, s, strings.Join(ScenarioNames(), ", "))
		}
	}
	for _, name := range o.Policies {
		known := false
		for _, p := range Policies {
			known = known || p.Name == name
		}
		if !known {
			return fmt.Errorf("%w: policy %q", ErrUnknownName, name)
		}
	}
	return nil
}

// find returns the outcome of a scenario under a policy, or nil.
func (r *Results) find(scenario, policy string) *Outcome {
	for _, o := range r.Outcomes {
		if o.Scenario == scenario && o.Policy == policy {
			return o
		}
	}
	return nil
}

// WriteMarkdown writes a table with one row for each outcome. The column p99 /
// calm compares with the scenario calm under the same policy.
func (r *Results) WriteMarkdown(w io.Writer) {
	_, _ = fmt.Fprintln(w, "| deployment | scenario | policy | asked | answered | coverage | refused | no answer | p50 ms | p99 ms | p99 / calm | extra load | broken promises |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, o := range r.Outcomes {
		all := o.Report.All
		refused := 0
		for _, n := range all.Refused {
			refused += n
		}
		ratio := "-"
		if calm := r.find("calm", o.Policy); calm != nil {
			ratio = fmt.Sprintf("%.2f", all.P99MS/calm.Report.All.P99MS)
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %d | %.2f%% | %.2f%% | %d | %d | %.1f | %.1f | %s | %.1f%% | %d |\n",
			r.Deployment, o.Scenario, o.Policy, all.Asked, 100*all.Answered(), 100*all.Coverage, refused, all.NoAnswer,
			all.P50MS, all.P99MS, ratio, 100*o.Report.ExtraLoad, len(o.Report.Violations))
	}
	for _, o := range r.Outcomes {
		if len(o.Notes) > 0 {
			_, _ = fmt.Fprintf(w, "\n%s, %s under %s: %s.\n", r.Deployment, o.Scenario, o.Policy, notes(o.Notes))
		}
	}
}

func notes(m map[string]float64) string {
	var out []string
	for name, v := range m {
		out = append(out, fmt.Sprintf("%s %.2f", name, v))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
