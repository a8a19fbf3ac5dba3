package rollout

// route holds the series of both versions on one route.
type route struct {
	newSeries [maxGroups]series // by group of nodes
	oldSeries series
	folded    int64 // newest slot counted in paired
	paired    pair  // of the stage
	worst     Sums  // the old version's worst window in holds
	looked
}

// pair is the sums of both versions over the same slots of time.
type pair struct {
	groups [maxGroups]Sums // of the new version
	old    Sums
}

// looked is what the series say at one moment, for one route or several.
type looked struct {
	paired [len(windows) + 1]pair // the windows, then the stage
	alone  [len(windows)]pair     // slots in which the old version had too little
	stage  [maxGroups]Sums        // of the new version
	ever   Sums                   // of the old version
	worst  Sums
}

// isPaired reports whether the old version had enough traffic in a slot, beside
// the new one, for the two to be compared.
func (r *route) isPaired(slot int64) bool {
	var isNew uint64
	for i := range r.newSeries {
		isNew += r.newSeries[i].at(slot).Requests
	}
	old := r.oldSeries.at(slot).Requests
	return old > 0 && 2*old >= isNew
}

// add counts a slot of the route in.
func (p *pair) add(r *route, slot int64) {
	p.old.add(r.oldSeries.at(slot))
	for i := range r.newSeries {
		p.groups[i].add(r.newSeries[i].at(slot))
	}
}

// merge counts o in. Groups are nodes, so they match.
func (p *pair) merge(o *pair) {
	p.old.add(&o.old)
	for i := range o.groups {
		p.groups[i].add(&o.groups[i])
	}
}

// advance moves all series to a slot.
func (r *route) advance(slot int64) {
	r.oldSeries.advance(slot)
	for i := range r.newSeries {
		r.newSeries[i].advance(slot)
	}
}

// look reads the series at a slot.
func (r *route) look(slot int64) {
	r.fold(slot)
	r.looked = looked{ever: r.oldSeries.ever, worst: r.worst}
	for i := range r.newSeries {
		r.stage[i] = r.newSeries[i].stage
	}
	from := int64(0)
	for w, n := range windows {
		if w > 0 {
			r.looked.paired[w] = r.looked.paired[w-1]
			r.alone[w] = r.alone[w-1]
		}
		for ; from < int64(n) && from <= slot; from++ {
			if r.isPaired(slot - from) {
				r.looked.paired[w].add(r, slot-from)
				continue
			}
			r.alone[w].add(r, slot-from)
		}
	}
	r.looked.paired[len(windows)] = r.paired
}

// fold counts the slots that have ended into the stage's pair.
func (r *route) fold(slot int64) {
	r.advance(slot)
	for k := max(r.folded+1, slot-ringSlots+1); k < slot; k++ {
		if r.isPaired(k) {
			r.paired.add(r, k)
		}
	}
	r.folded = max(r.folded, slot-1)
}

// resetStage begins the samples of a stage.
func (r *route) resetStage() {
	r.paired = pair{}
	for i := range r.newSeries {
		r.newSeries[i].stage = Sums{}
	}
}

// merge adds what was looked at on another route.
func (l *looked) merge(o *looked) {
	l.ever.add(&o.ever)
	l.worst.add(&o.worst)
	for w := range o.paired {
		l.paired[w].merge(&o.paired[w])
	}
	for w := range o.alone {
		l.alone[w].merge(&o.alone[w])
	}
	for i := range o.stage {
		l.stage[i].add(&o.stage[i])
	}
}

// acquit keeps the old version's window in a hold when it is its worst.
func (r *route) acquit() {
	w := &r.looked.paired[0].old
	if w.Requests < minOld {
		return
	}
	if w.mean() > r.worst.mean() || w.Errors*max(r.worst.Requests, 1) > r.worst.Errors*w.Requests {
		r.worst = *w
	}
}

// fault compares the versions at the same time.
func (l *looked) fault() Regression {
	for w := range l.paired {
		p := &l.paired[w]
		if p.old.Requests < minOld {
			continue
		}
		if f := sameTime.worse(p.groups[:], &p.old); f != NoRegression {
			return f
		}
	}
	return NoRegression
}

// suspicion compares the new version, where it had the traffic alone, with
// what the old one did before.
func (l *looked) suspicion() Regression {
	for w := range l.alone {
		groups := l.alone[w].groups[:]
		if l.worst.Requests > 0 && remembered.worse(groups, &l.worst) == NoRegression {
			continue
		}
		if f := remembered.worse(groups, &l.ever); f != NoRegression {
			return f
		}
	}
	return NoRegression
}

// noWorse compares the stage's samples.
func (l *looked) noWorse() bool {
	if p := &l.paired[len(windows)]; p.old.Requests >= minOld {
		return sameTime.noWorse(p.groups[:], &p.old)
	}
	if l.worst.Requests > 0 && remembered.noWorse(l.stage[:], &l.worst) {
		return true
	}
	return remembered.noWorse(l.stage[:], &l.ever)
}

// samples is the number of the new version's requests in the stage.
func (l *looked) samples() uint64 {
	var n uint64
	for i := range l.stage {
		n += l.stage[i].Requests
	}
	return n
}
