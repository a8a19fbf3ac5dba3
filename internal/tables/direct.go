package tables

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
)

// Upper limits for keys of the direct path.
const (
	maxAttempts = 16
	maxPriority = 100
	maxTop      = 10_000
)

// readDirect reads the keys that the direct path (package direct) uses.
func readDirect(r *inifile.Reader, route *Route) {
	route.Host = r.String("host", "")
	route.Prefix = r.String("prefix", "")
	if route.Prefix != "" && !(strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/")) {
		r.Fail("prefix", fmt.Sprintf("bad prefix %q", route.Prefix), "begin and end it with a slash, as in /coats/")
	}
	route.Objective = r.Duration("objective", 0, 0, MaxDeadline)
	route.MaxAttempts = r.Int("max-attempts", 0, 0, maxAttempts)
	route.Priority = r.Int("priority", 0, 0, maxPriority)
	route.Regions = r.List("regions")
	route.Top = r.Int("top", 0, 0, maxTop)
	for _, w := range r.List("weights") {
		f, err := strconv.ParseFloat(w, 64)
		if err != nil || f < 0 {
			r.Fail("weights", fmt.Sprintf("bad weight %q", w), "write numbers of 0 or more, one for each pool")
			return
		}
		route.Weights = append(route.Weights, f)
	}
	if n := len(route.Weights); n > 0 && n != len(route.Pools) {
		r.Fail("weights", fmt.Sprintf("%d weights for %d pools", n, len(route.Pools)), "write one weight for each pool")
	}
	if (route.Merge == MergeTop) != (route.Top > 0) {
		r.Fail("top", "merge = top and top = NUMBER go together", "write both or neither")
	}
}

// flattenDirect calls set for each key of the direct path that has a value.
func flattenDirect(set func(key, value string), r *Route) {
	texts := map[string]string{"host": r.Host, "prefix": r.Prefix, "regions": strings.Join(r.Regions, ", ")}
	for key, v := range texts {
		if v != "" {
			set(key, v)
		}
	}
	numbers := map[string]int{"max-attempts": r.MaxAttempts, "priority": r.Priority, "top": r.Top}
	for key, v := range numbers {
		if v != 0 {
			set(key, strconv.Itoa(v))
		}
	}
	if r.Objective != 0 {
		set("objective", r.Objective.String())
	}
	if len(r.Weights) > 0 {
		set("weights", strings.Trim(fmt.Sprint(r.Weights), "[]"))
	}
}
