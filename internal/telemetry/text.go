package telemetry

import (
	"expvar"
	"fmt"
	"io"
)

// WriteText writes all counters of expvar maps as lines of "map_key value".
func WriteText(w io.Writer) {
	expvar.Do(func(kv expvar.KeyValue) {
		m, ok := kv.Value.(*expvar.Map)
		if !ok {
			return
		}
		m.Do(func(e expvar.KeyValue) {
			_, _ = fmt.Fprintf(w, "%s_%s %s\n", kv.Key, e.Key, e.Value)
		})
	})
}
