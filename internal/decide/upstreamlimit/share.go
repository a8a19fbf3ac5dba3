package upstreamlimit

import (
	"slices"
	"sort"

	"github.com/sapphirewall/sapphirewall/internal/decide/fleetlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/vmcount"
)

const (
	// burstSlack is the number of requests that all VMs together may send at once, in
	// addition to what the limit allows in a second.
	burstSlack = 2.0
	// nearWeight is the weight of a VM in the upstream's region. These VMs choose the
	// upstream before others, the other VMs only in need.
	nearWeight = 4.0
	// probeShare is the part of a limit that the VMs without a share use together, to
	// learn whether the limit has ended, while they hear nothing from other VMs; each
	// of them sends at least minProbeRate requests a second.
	probeShare   = 0.5
	minProbeRate = 1.0 / 60
)

// JoinTime is the time after the start of its process in which the other VMs may not
// count a VM yet. Until then it uses joinShare of its share.
const (
	JoinTime  = vmcount.CountInterval + fleetlimit.SettleTime
	joinShare = 0.5
)

// VM is a VM that may send to an upstream.
type VM struct {
	Name string
	Near bool // in the upstream's region
}

// Share is what a VM may send to an upstream.
type Share struct {
	Rate      float64 // requests a second; 0: none
	Burst     float64 // requests at once
	ProbeRate float64 // requests a second, if Rate is 0 and the limit is not heard of
}

// Joining returns the share of a VM whose process has started less than JoinTime ago.
func (s Share) Joining() Share {
	return Share{Rate: s.Rate * joinShare, Burst: min(s.Burst, max(1, s.Burst*joinShare)), ProbeRate: s.ProbeRate * joinShare}
}

// Ranking is the order in which VMs share the limits of an upstream, near ones first.
type Ranking struct {
	vms  []VM
	self int // position of this VM; -1: it isn't among them
}

// Rank ranks the VMs for an upstream. self is the name of this VM.
func Rank(upstream, self string, vms []VM) *Ranking {
	ranked := rank(upstream, vms)
	return &Ranking{vms: ranked, self: slices.IndexFunc(ranked, func(vm VM) bool { return vm.Name == self })}
}

// ShareOf returns this VM's share of a limit. The VMs share it by their weights. If some
// would get less than one request at once, the last ones in the ranking get nothing, so
// that neither the rates nor the bursts of all shares add up to more than the limit
// allows.
func (r *Ranking) ShareOf(rate float64) Share {
	if len(r.vms) == 0 {
		return Share{Rate: rate / fleetlimit.AssumedVMs, Burst: 1}
	}
	senders, total := countSenders(rate+burstSlack, r.vms)
	if r.self < 0 || r.self >= senders {
		return Share{ProbeRate: max(probeShare*rate/float64(len(r.vms)), minProbeRate)}
	}
	part := r.vms[r.self].weight() / total
	return Share{Rate: rate * part, Burst: max(1, (rate+burstSlack)*part)}
}

func (v VM) weight() float64 {
	if v.Near {
		return nearWeight
	}
	return 1
}

// rank orders the VMs for an upstream, near ones first.
func rank(upstream string, vms []VM) []VM {
	type scored struct {
		VM
		score uint64
	}
	all := make([]scored, len(vms))
	for i, vm := range vms {
		all[i] = scored{vm, ownership.Score(upstream, vm.Name)}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case a.Near != b.Near:
			return a.Near
		case a.score != b.score:
			return a.score > b.score
		}
		return a.Name < b.Name
	})
	ranked := make([]VM, len(all))
	for i, vm := range all {
		ranked[i] = vm.VM
	}
	return ranked
}

// countSenders returns how many of the ranked VMs may send, so that each has a burst of
// at least one of the requests that all may send at once, and the sum of their weights.
func countSenders(burst float64, ranked []VM) (n int, total float64) {
	for i, vm := range ranked {
		// The weights fall along the ranking, so the last VM has the smallest part.
		if sum := total + vm.weight(); i == 0 || burst*vm.weight()/sum >= 1 {
			n, total = i+1, sum
			continue
		}
		break
	}
	return n, total
}
