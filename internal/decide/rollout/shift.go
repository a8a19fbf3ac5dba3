package rollout

import "sort"

// maxShift is the highest tolerated increase of the mean binary logarithm of the
// latency: a version may be a fifth slower.
const maxShift = 0.25

// minShiftRequests is the number of answers from which the normal approximation is
// used.
const minShiftRequests = 15

// logMoments returns the mean and the variance of the bucket numbers, which are binary
// logarithms of the latencies.
func (s *Sums) logMoments() (mean, variance float64) {
	if s.Requests == 0 {
		return 0, 0
	}
	var sum, squares float64
	for i, n := range s.LatencyBuckets {
		sum += float64(n) * float64(i)
		squares += float64(n) * float64(i) * float64(i)
	}
	n := float64(s.Requests)
	mean = sum / n
	return mean, max(squares/n-mean*mean, 0)
}

// bucketVariance is the variance that the width of a bucket adds.
const bucketVariance = 1.0 / 12

// shiftEvidence returns the evidence, in nats, that the latencies s are more than
// maxShift above those of the old version, by the normal approximation. Unlike the
// share of slow answers it grows with the slowness of each.
func shiftEvidence(s, old *Sums) float64 {
	if s.Requests < minShiftRequests || old.Requests < minShiftRequests {
		return 0
	}
	mean, variance := s.logMoments()
	oldMean, oldVariance := old.logMoments()
	excess := mean - oldMean - maxShift
	if excess <= 0 {
		return 0
	}
	spread := (variance+bucketVariance)/float64(s.Requests) + (oldVariance+bucketVariance)/float64(old.Requests)
	return excess * excess / (2 * spread)
}

// withoutSlowest returns the sum of the groups without those that are slower than the
// others, so that a slow replica isn't taken for a slow version.
func withoutSlowest(groups []Sums) Sums {
	all := sum(groups)
	var filled []*Sums
	for i := range groups {
		if groups[i].Requests > 0 {
			filled = append(filled, &groups[i])
		}
	}
	if len(filled) < 2 {
		return all
	}
	sort.Slice(filled, func(i, j int) bool {
		a, _ := filled[i].logMoments()
		b, _ := filled[j].logMoments()
		return a > b
	})
	for _, g := range filled[:max(1, len(filled)/groupsPerOutlier)] {
		if rest := all.minus(g); shiftEvidence(g, &rest) >= outlierEvidence {
			all = rest
		}
	}
	return all
}

// isShifted reports whether the new version's latencies are above the old one's, with
// a given evidence.
func isShifted(p *pair, evidence float64) bool {
	rest := withoutSlowest(p.groups[:])
	return shiftEvidence(&rest, &p.old) >= evidence && fleetwide.meanRegressed(&rest, &p.old)
}
