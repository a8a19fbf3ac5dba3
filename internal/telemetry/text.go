package telemetry

import (
	"expvar"
	"fmt"
	"io"
)

// WriteText writes the counters of all expvar maps, one "map_key value" a line.
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
