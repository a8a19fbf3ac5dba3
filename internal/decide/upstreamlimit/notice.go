package upstreamlimit

import "math"

// MinRate and MaxRate bound the rates that are applied, in requests a second. At
// MinRate an upstream still gets a request now and then, whose answer shows that its
// limit has ended.
const (
	MinRate = 0.1
	MaxRate = 1e6
)

// Kind is what an answer says of the upstream's limit.
type Kind uint8

// The kinds.
const (
	Absent     Kind = iota // names no limit
	Named                  // names a limit
	Unreadable             // names something that is no rate
)

// Notice is what one answer says of its upstream itself.
type Notice struct {
	Kind Kind
	Rate float64 // requests a second from all VMs together, if Kind is Named
}

// NewNotice returns the notice that names a rate.
func NewNotice(rate float64) Notice {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Notice{Kind: Unreadable}
	}
	return Notice{Kind: Named, Rate: min(max(rate, MinRate), MaxRate)}
}

// And returns the notice of an answer that says both n and other: the lower rate of two,
// and a rate rather than something unreadable.
func (n Notice) And(other Notice) Notice {
	switch {
	case n.Kind == Named && other.Kind == Named:
		return Notice{Kind: Named, Rate: min(n.Rate, other.Rate)}
	case n.Kind == Named || other.Kind == Absent:
		return n
	}
	return other
}
