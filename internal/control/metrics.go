package control

import (
	"expvar"

	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// publishMetrics registers the metrics of the service.
func (s *Service) publishMetrics() {
	m := telemetry.Map(Name)
	m.Set("revision", expvar.Func(func() any {
		if t := s.Current().Tables; t != nil {
			return t.Revision
		}
		return uint64(0)
	}))
	m.Set("members", expvar.Func(func() any {
		count := map[string]int{}
		for _, member := range s.Current().Members {
			count[memberStateNames[member.State]]++
		}
		return count
	}))
	m.Set("platform_up", expvar.Func(func() any { return s.tableSync.isPlatformUp() }))
	m.Set("relay", expvar.Func(func() any { return s.tableSync.isRelay() }))
	m.Set("vetoes", expvar.Func(func() any { return len(s.Current().Vetoes) }))
}

var memberStateNames = map[fleetstate.MemberState]string{
	fleetstate.Alive: "alive", fleetstate.Suspect: "suspect", fleetstate.Leaving: "leaving", fleetstate.Gone: "gone",
}
