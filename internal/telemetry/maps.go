package telemetry

import (
	"expvar"
	"sync"
)

// mapsMu serializes the creation of maps: expvar panics when a name is published
// twice.
var mapsMu sync.Mutex

// Map returns the expvar map with the given name and creates it on first use, so
// that several services of a process can share it.
func Map(name string) *expvar.Map {
	mapsMu.Lock()
	defer mapsMu.Unlock()
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		return m
	}
	return expvar.NewMap(name)
}
