package admission

// Rank orders requests that compete for free capacity: first by the priority of their
// team, then by that of their route. 0 is the most urgent.
type Rank struct {
	Team, Route int
}

// Before reports whether requests of rank r are more urgent than those of rank o.
func (r Rank) Before(o Rank) bool {
	if r.Team != o.Team {
		return r.Team < o.Team
	}
	return r.Route < o.Route
}

// maxLevel is the highest level. Less urgent requests are all treated alike.
const maxLevel = 3

// Level returns how many of the ranks that compete with r are more urgent, each counted
// once, up to maxLevel.
func (r Rank) Level(competing []Rank) int {
	level := 0
	for i, o := range competing {
		if o.Before(r) && !contains(competing[:i], o) {
			level++
		}
	}
	return min(level, maxLevel)
}

func contains(ranks []Rank, r Rank) bool {
	for _, o := range ranks {
		if o == r {
			return true
		}
	}
	return false
}
