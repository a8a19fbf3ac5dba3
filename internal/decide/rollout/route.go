package rollout

// route holds the time series of both versions on one route.
type route struct {
	newSeries  [maxGroups]series // by node group
	oldSeries  series
	lastPaired int64 // newest slot included in paired
	paired     pair  // paired slots since the stage started
	worstHold  Sums  // the old version's worst window during a hold
	comparison
}

// pair holds the sums of both versions over the same time slots.
type pair struct {
	groups [maxGroups]Sums // of the new version, by node group
	old    Sums
}

// comparison holds the sums by which the versions are compared at one time, for
// one route or all.
type comparison struct {
	paired    [len(windows) + 1]pair // each window, then the stage
	unpaired  [len(windows)]pair     // each window, slots with too little traffic to the old version
	stage     [maxGroups]Sums        // of the new version since the stage started
	oldTotal  Sums                   // of the old version since the judge started
	worstHold Sums
}

// isPaired reports whether the old version had enough traffic in a slot for a
// comparison: at least half as many requests as the new version.
func (r *route) isPaired(slot int64) bool {
	var newRequests uint64
	for i := range r.newSeries {
		newRequests += r.newSeries[i].at(slot).Requests
	}
	old := r.oldSeries.at(slot).Requests
	return old > 0 && 2*old >= newRequests
}

// add adds the sums of one slot of the route.
func (p *pair) add(r *route, slot int64) {
	p.old.add(r.oldSeries.at(slot))
	for i := range r.newSeries {
		p.groups[i].add(r.newSeries[i].at(slot))
	}
}

// merge adds o, group by group: a node has the same group on every route.
func (p *pair) merge(o *pair) {
	p.old.add(&o.old)
	for i := range o.groups {
		p.groups[i].add(&o.groups[i])
	}
}

// advance advances all series to a slot.
func (r *route) advance(slot int64) {
	r.oldSeries.advance(slot)
	for i := range r.newSeries {
		r.newSeries[i].advance(slot)
	}
}

// compare computes the comparison as of a slot.
func (r *route) compare(slot int64) {
	r.updatePaired(slot)
	r.comparison = comparison{oldTotal: r.oldSeries.total, worstHold: r.worstHold}
	for i := range r.newSeries {
		r.stage[i] = r.newSeries[i].stage
	}
	from := int64(0)
	for w, n := range windows {
		if w > 0 {
			r.comparison.paired[w] = r.comparison.paired[w-1]
			r.unpaired[w] = r.unpaired[w-1]
		}
		for ; from < int64(n) && from <= slot; from++ {
			if r.isPaired(slot - from) {
				r.comparison.paired[w].add(r, slot-from)
				continue
			}
			r.unpaired[w].add(r, slot-from)
		}
	}
	r.comparison.paired[len(windows)] = r.paired
}

// updatePaired adds the slots that have ended since the last update to the
// stage's pair.
func (r *route) updatePaired(slot int64) {
	r.advance(slot)
	for k := max(r.lastPaired+1, slot-ringSlots+1); k < slot; k++ {
		if r.isPaired(k) {
			r.paired.add(r, k)
		}
	}
	r.lastPaired = max(r.lastPaired, slot-1)
}

// resetStage clears the samples of the stage.
func (r *route) resetStage() {
	r.paired = pair{}
	for i := range r.newSeries {
		r.newSeries[i].stage = Sums{}
	}
}

// merge adds the comparison of another route.
func (c *comparison) merge(o *comparison) {
	c.oldTotal.add(&o.oldTotal)
	c.worstHold.add(&o.worstHold)
	for w := range o.paired {
		c.paired[w].merge(&o.paired[w])
	}
	for w := range o.unpaired {
		c.unpaired[w].merge(&o.unpaired[w])
	}
	for i := range o.stage {
		c.stage[i].add(&o.stage[i])
	}
}

// recordHold records the old version's shortest window during a hold when its
// mean latency or error rate is the highest so far.
func (r *route) recordHold() {
	w := &r.comparison.paired[0].old
	if w.Requests < minOldRequests {
		return
	}
	if w.mean() > r.worstHold.mean() || w.Errors*max(r.worstHold.Requests, 1) > r.worstHold.Errors*w.Requests {
		r.worstHold = *w
	}
}

// regression compares both versions over the slots in which both had traffic.
func (c *comparison) regression() Regression {
	for w := range c.paired {
		p := &c.paired[w]
		if p.old.Requests < minOldRequests {
			continue
		}
		if f := concurrent.regression(p.groups[:], &p.old); f != NoRegression {
			return f
		}
	}
	return NoRegression
}

// suspectedRegression compares the new version, over the slots in which the old
// one had too little traffic, with the old one's earlier requests. It skips
// windows in which the new version shows no regression against the old one's
// worst window during a hold.
func (c *comparison) suspectedRegression() Regression {
	for w := range c.unpaired {
		groups := c.unpaired[w].groups[:]
		if c.worstHold.Requests > 0 && historical.regression(groups, &c.worstHold) == NoRegression {
			continue
		}
		if f := historical.regression(groups, &c.oldTotal); f != NoRegression {
			return f
		}
	}
	return NoRegression
}

// withinTolerance reports whether the new version's samples of the stage are
// within tolerance of the old version.
func (c *comparison) withinTolerance() bool {
	if p := &c.paired[len(windows)]; p.old.Requests >= minOldRequests {
		return concurrent.withinTolerance(p.groups[:], &p.old)
	}
	if c.worstHold.Requests > 0 && historical.withinTolerance(c.stage[:], &c.worstHold) {
		return true
	}
	return historical.withinTolerance(c.stage[:], &c.oldTotal)
}

// samples returns the number of requests to the new version in the stage.
func (c *comparison) samples() uint64 {
	var n uint64
	for i := range c.stage {
		n += c.stage[i].Requests
	}
	return n
}
