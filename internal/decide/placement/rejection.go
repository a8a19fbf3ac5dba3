package placement

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the age at which an arrival counts half. A replica whose
	// rejections have stopped gets most of its share again within some seconds.
	evidenceHalfLife = 2 * time.Second
	// priorArrivals is the number of accepted arrivals that is assumed beside the
	// observed ones: one rejection in some hundred requests moves little work away.
	priorArrivals = 1.5
	// maxRejectionChance caps the chance that the cost is computed from, so that a
	// replica that rejects all requests is still probed.
	maxRejectionChance = 0.95
	// minRejectionCost is the cost of a rejection while the budget of extra attempts is
	// whole, and maxRejectionCost if none is left: the part is lost then, and often the
	// query with it. Lower ones keep work of a zone at a replica that rejects it until
	// the budget of the pool is used up.
	minRejectionCost = 200 * time.Millisecond
	maxRejectionCost = 1000 * time.Millisecond
	// paceWeight is the weight of one report in the usual pace of a machine.
	paceWeight = 0.1
	// minPaceFactor and maxPaceFactor bound the effect of one report of the pace.
	minPaceFactor = 0.5
	maxPaceFactor = 4.0
	// busyWeight is the weight of one report in the smoothed share of busy slots, and
	// busyHalfLife the age at which that share counts half.
	busyWeight   = 0.3
	busyHalfLife = 2 * time.Second
	// maxBusy caps the share of busy slots that the expected wait is computed from.
	maxBusy = 0.95
	// spreadCost is the cost of a replica for each request that this VM has recently
	// sent to it beyond the mean of the candidates, and maxSpreadCost its bound, as
	// shares of the typical latency. It balances equal replicas. With a bound of 0.2, a
	// fifth of the requests of 90 ms left their region.
	spreadCost    = 0.05
	maxSpreadCost = 0.1
	// maxSpreadChance is the chance of a rejection from which on a replica that got few
	// requests isn't preferred for that.
	maxSpreadChance = 0.2
	// sendsHalfLife is the age at which a request counts half for spreadCost. A VM may
	// send one request to a pool in several seconds.
	sendsHalfLife = 30 * time.Second
)

// decaying is a sum whose terms lose half of their weight in each half-life.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time, halfLife time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * halve(float64(now.Sub(d.at))/float64(halfLife))
}

// halve returns 1/2 to the power of x, or 1 for a negative x. A parabola between whole
// powers, with an error of about 0.3%, is enough for weights and spares each choice
// several calls of math.Exp2.
func halve(x float64) float64 {
	switch {
	case x <= 0:
		return 1
	case x >= 64:
		return 0
	}
	whole := uint64(x)
	f := x - float64(whole)
	return (1 - 0.67157*f + 0.17157*f*f) / float64(uint64(1)<<whole)
}

func (d *decaying) add(now time.Time, v float64, halfLife time.Duration) {
	d.sum, d.at = d.value(now, halfLife)+v, now
}

func (d *decaying) set(now time.Time, v float64) { d.sum, d.at = v, now }

// rejections is the evidence of how many of its arrivals a replica rejects.
type rejections struct {
	arrived, rejected             decaying // of this VM
	sharedArrived, sharedRejected decaying // of other VMs
}

// observe records one arrival.
func (r *rejections) observe(now time.Time, rejected float64) {
	r.arrived.add(now, 1, evidenceHalfLife)
	r.rejected.add(now, rejected, evidenceHalfLife)
}

// chance returns the chance that the replica rejects the next arrival.
func (r *rejections) chance(now time.Time) float64 {
	rejected := r.rejected.value(now, evidenceHalfLife) + r.sharedRejected.value(now, evidenceHalfLife)
	if rejected == 0 {
		return 0
	}
	arrived := r.arrived.value(now, evidenceHalfLife) + r.sharedArrived.value(now, evidenceHalfLife)
	return min(rejected/(arrived+priorArrivals), maxRejectionChance)
}

// SetShared sets what other VMs have observed: the recent arrivals at the replica and
// the rejections among them. It replaces what was set before.
func (r *Replica) SetShared(now time.Time, arrived, rejected float64) {
	r.rejections.sharedArrived.set(now, max(arrived, rejected))
	r.rejections.sharedRejected.set(now, rejected)
}

// RejectionChance returns the chance that the replica rejects the next request.
func (r *Replica) RejectionChance(now time.Time) float64 { return r.rejections.chance(now) }

// RejectionCost returns the cost of a rejection, given the share of the budget for
// extra attempts that is left.
func RejectionCost(budgetLeft float64) time.Duration {
	left := max(0, min(budgetLeft, 1))
	return maxRejectionCost - time.Duration(left*float64(maxRejectionCost-minRejectionCost))
}

// pace is the reports of how long work takes on a replica's machine.
type pace struct {
	usual float64 // smoothed, in percent; 0: never stated
	last  float64
	at    time.Time
}

func (p *pace) observe(now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	p.last, p.at = float64(percent), now
	if p.usual == 0 {
		p.usual = p.last
	}
	p.usual += paceWeight * (p.last - p.usual)
}

// factor returns how much longer than on average work takes now. The latency ratio
// already has the average; a report loses its weight as fast as a load.
func (p *pace) factor(now time.Time) float64 {
	if p.usual == 0 {
		return 1
	}
	f := max(minPaceFactor, min(p.last/p.usual, maxPaceFactor))
	return 1 + (f-1)*ageWeight(now.Sub(p.at), loadHalfLife)
}

// ageWeight returns the weight of a report by its age.
func ageWeight(age, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(age, 0))
}

// ObservePace records how long work takes on the replica's machine, where 100 is the
// usual value; 0: not stated.
func (r *Replica) ObservePace(now time.Time, percent int) {
	r.pace.observe(now, percent)
	if percent > 0 && r.slots > 0 {
		busy := min(float64(r.running+r.waiting)/float64(r.slots), 1)
		r.busy += busyWeight * (busy - r.busy)
		r.busyAt = now
	}
}

// usualWait returns the wait for a slot that is expected from the smoothed share of
// busy slots. The latest report is too old for that after some executions.
func (r *Replica) usualWait(now time.Time, execution time.Duration) time.Duration {
	if r.busy == 0 {
		return 0
	}
	busy := min(r.busy*ageWeight(now.Sub(r.busyAt), busyHalfLife), maxBusy)
	return time.Duration(math.Pow(busy, float64(r.slots)) / (float64(r.slots) * (1 - busy)) * float64(execution))
}

// meanSends returns the mean of the requests that were recently sent to a candidate.
func meanSends(now time.Time, cands []Candidate) float64 {
	sum := 0.0
	for i := range cands {
		r := cands[i].Replica
		r.recentSends = r.sends.value(now, sendsHalfLife)
		sum += r.recentSends
	}
	return sum / float64(max(len(cands), 1))
}
