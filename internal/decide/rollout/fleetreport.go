package rollout

import "time"

// Report is what a VM tells a judge about an order, counted from when it heard of it.
type Report struct {
	Node        string
	Incarnation uint64        // of its process
	Sequence    uint64        // rises with each report
	Age         time.Duration // of the order, at most
	Phase       Phase         // in force on the VM
	Firsts      int           // first attempts at the pool that were answered
	Sent        int           // attempts at the new version
	OldInFlight int           // attempts at the old version
	MaxAttempt  time.Duration // the longest that an attempt may last
	Stats       []RolloutStat
	// Pending are the attempts in flight at the new version that already last much
	// longer than usual.
	Pending []RolloutStat
}

// Capacity is what the replicas of both versions can take.
type Capacity struct {
	NewReplicas int // that can take work now
	NewSlots    int // of these; 0: not stated
	// Settled states that the pool had the version before the order.
	Settled bool
}

// fleetNode is the last report of a VM.
type fleetNode struct {
	report Report
	heard  time.Time
	rows   map[statID]Sums
}

// rateSample is the number of first attempts at a time.
type rateSample struct {
	at     time.Time
	firsts int
}

// Report records a VM's report.
func (j *FleetJudge) Report(now time.Time, r Report) {
	n := j.nodes[r.Node]
	switch {
	case n != nil && (r.Incarnation < n.report.Incarnation || r.Incarnation == n.report.Incarnation && r.Sequence <= n.report.Sequence):
		return // arrived late
	case n != nil && r.Incarnation > n.report.Incarnation:
		j.former.firsts += n.report.Firsts
		j.former.sent += n.report.Sent
		n = nil
	}
	if n == nil {
		n = &fleetNode{rows: map[statID]Sums{}}
		j.nodes[r.Node] = n
	}
	j.SetAge(now, r.Age)
	for i := range r.Stats {
		j.record(now, n, &r.Stats[i])
	}
	r.Stats = nil
	n.report, n.heard = r, now
	j.sumPending()
	if r.Phase == RolledBack && !j.phase.Final() {
		j.rollBack(now, "another judge has rolled it back")
	}
}

func (j *FleetJudge) record(now time.Time, n *fleetNode, s *RolloutStat) {
	id := s.id()
	last := n.rows[id]
	if !s.Sums.follows(&last) {
		return
	}
	n.rows[id] = s.Sums
	r := j.routes[s.Route]
	if r == nil {
		r = &fleetRoute{}
		j.routes[s.Route] = r
	}
	delta := s.Sums.minus(&last)
	if s.Class == OldVersion {
		r.old.add(slotAt(now), delta)
		return
	}
	r.news[id.group].add(slotAt(now), delta)
}

// sumPending adds up the long attempts in flight of all VMs.
func (j *FleetJudge) sumPending() {
	clear(j.pending)
	for _, n := range j.nodes {
		for i := range n.report.Pending {
			p := &n.report.Pending[i]
			total := j.pending[p.id()]
			total.add(&p.Sums)
			j.pending[p.id()] = total
		}
	}
}

// Totals returns the first attempts at the pool and the attempts at the new version of
// all VMs.
func (j *FleetJudge) Totals() (firsts, sent int) {
	firsts, sent = j.former.firsts, j.former.sent
	for _, n := range j.nodes {
		firsts += n.report.Firsts
		sent += n.report.Sent
	}
	return firsts, sent
}

// sampleRate records the number of first attempts now.
func (j *FleetJudge) sampleRate(now time.Time) {
	firsts, _ := j.Totals()
	j.rates = append(j.rates, rateSample{now, firsts})
	for len(j.rates) > 1 && now.Sub(j.rates[1].at) >= rateWindow {
		j.rates = j.rates[1:]
	}
}

// rate is the number of requests a second, the higher one of both windows.
func (j *FleetJudge) rate(now time.Time) float64 {
	return max(j.rateOver(now, rateWindow), j.rateOver(now, shortRateWindow))
}

// rateOver is the number of requests a second in a window.
func (j *FleetJudge) rateOver(now time.Time, window time.Duration) float64 {
	if len(j.rates) == 0 {
		return 0
	}
	first, last := j.rates[0], j.rates[len(j.rates)-1]
	for _, r := range j.rates {
		if now.Sub(r.at) < window {
			break
		}
		first = r
	}
	elapsed := max(now.Sub(first.at), shortRateWindow)
	return float64(last.firsts-first.firsts) / elapsed.Seconds()
}

// concurrency is the number of requests that the old version executes at a time, by
// Little's law.
func (j *FleetJudge) concurrency(now time.Time) float64 {
	var old Sums
	for _, r := range j.routes {
		old.add(&r.old.total)
	}
	return j.rate(now) * old.mean().Seconds()
}

// newAnswers is the number of answers of the new version.
func (j *FleetJudge) newAnswers() uint64 {
	var n uint64
	for _, r := range j.routes {
		for i := range r.news {
			n += r.news[i].total.Requests
		}
	}
	return n
}

// Hears reports whether a VM has reported recently.
func (j *FleetJudge) Hears(now time.Time, vm string) bool {
	n := j.nodes[vm]
	return n != nil && now.Sub(n.heard) < heardWithin
}

// hearsMajority reports whether more than half of the VMs have reported recently.
func (j *FleetJudge) hearsMajority(now time.Time) bool {
	heard := 0
	for _, vm := range j.vms {
		if j.Hears(now, vm) {
			heard++
		}
	}
	return 2*heard > len(j.vms)
}

// maxAttempt is the longest that an attempt at the pool may last.
func (j *FleetJudge) maxAttempt() time.Duration {
	var d time.Duration
	for _, n := range j.nodes {
		d = max(d, n.report.MaxAttempt)
	}
	return d
}
