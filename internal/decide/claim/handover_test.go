package claim_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// pieces is the store content of one range, shared by its owners.
type pieces struct{ all []claim.StoredPiece }

// do executes a call. Leases don't expire.
func (p *pieces) do(a claim.Action) claim.Result {
	switch a.Call {
	case claim.Grant:
		return claim.Result{Lease: 1}
	case claim.List:
		return claim.Result{Found: append([]claim.StoredPiece(nil), p.all...)}
	}
	for _, s := range p.all {
		if s.Chain == a.Chain && s.Number == a.Number {
			return claim.Result{Status: claim.Conflict, Found: []claim.StoredPiece{s}}
		}
	}
	if a.Call == claim.Read {
		return claim.Result{Status: claim.NotFound}
	}
	p.all = append(p.all, claim.StoredPiece{Chain: a.Chain, Number: a.Number, Lease: a.Lease, Revision: uint64(len(p.all)), Piece: a.Piece})
	return claim.Result{}
}

// owner is a range with its call in flight and the replies received so far.
type owner struct {
	*claim.Range
	inFlight  claim.Action
	doneAt    time.Time
	grants    int
	replies   map[uint64]claim.Reply
	repliedAt map[uint64]time.Time
}

func newOwner(seed uint64) *owner {
	return &owner{Range: claim.NewRange(rand.New(rand.NewPCG(seed, 1))), replies: map[uint64]claim.Reply{}, repliedAt: map[uint64]time.Time{}}
}

func (o *owner) record(now time.Time, replies []claim.Reply) {
	for _, r := range replies {
		o.replies[r.Ticket], o.repliedAt[r.Ticket] = r, now
	}
}

// step completes the call that is due and starts the next one.
func (o *owner) step(now time.Time, p *pieces) {
	if o.inFlight.Call != claim.None && !now.Before(o.doneAt) {
		res := p.do(o.inFlight)
		if o.inFlight.Call == claim.Read && res.Status == claim.Conflict {
			res.Status = claim.OK
		}
		o.inFlight = claim.Action{}
		o.record(now, o.OnResult(now, res))
	}
	if o.inFlight.Call == claim.None {
		if o.inFlight = o.Next(now); o.inFlight.Call != claim.None {
			o.doneAt = now.Add(callTime)
			if o.inFlight.Call == claim.Grant {
				o.grants++
			}
		}
	}
}

// A claim is requested every 5 ms. When the owner of the range starts to shut
// down, the next owner gets the later claims. If the stopping owner opened the
// range again, the two would fence each other and delay the claims of both.
var _ = Describe("a range whose owner shuts down", func() {
	It("is not opened again by that owner", func() {
		for seed := range uint64(50) {
			stopping, next, store := newOwner(2*seed+1), newOwner(2*seed+2), &pieces{}
			requested := map[uint64]time.Time{}
			const claims, every = 200, 5 * time.Millisecond
			stopAt := 300*time.Millisecond + time.Duration(seed)*time.Millisecond // the seeds cover a whole write interval
			start := time.Unix(0, 0)
			grantsAtStop := 0
			for t := time.Duration(0); t < 2*time.Second; t += time.Millisecond {
				now := start.Add(t)
				if t == stopAt {
					stopping.record(now, stopping.Stop())
					grantsAtStop = stopping.grants
				}
				if t%every == 0 && len(requested) < claims {
					n := uint64(len(requested) + 1)
					requested[n] = now
					o := stopping
					if t >= stopAt {
						o = next
					}
					o.record(now, o.Claim(now, n, claim.Record{Key: fmt.Sprint("key-", n), Request: fmt.Sprint("request-", n)}))
				}
				stopping.step(now, store)
				next.step(now, store)
			}
			Expect(stopping.grants).To(Equal(grantsAtStop), "seed %d: the stopping owner opened the range again", seed)
			Expect(stopping.Idle()).To(BeTrue())
			for n, at := range requested {
				o := next
				if _, ok := stopping.replies[n]; ok {
					o = stopping
				}
				Expect(o.replies).To(HaveKey(n), "seed %d", seed)
				if v := o.replies[n].Verdict; v != nil {
					Expect(v.Cause).To(Equal(verdict.NotOwner), "seed %d: %v", seed, v)
				}
				// Opening takes six calls: a grant, the first piece, a list, a
				// seal, a list and the write. If the last write of the other
				// owner fences this one, a call and the pause before it add up.
				Expect(o.repliedAt[n].Sub(at)).To(BeNumerically("<=", 100*time.Millisecond), "seed %d, claim %d", seed, n)
			}
		}
	})

	It("writes queued outcomes at once, and leaves waiting claims to the next owner", func() {
		o, store := newOwner(1), &pieces{}
		now := time.Unix(0, 0)
		run := func(length time.Duration) {
			for end := now.Add(length); now.Before(end); now = now.Add(time.Millisecond) {
				o.step(now, store)
			}
		}
		rec := claim.Record{Key: "k", Request: "r"}
		o.record(now, o.Claim(now, 1, rec))
		run(20 * time.Millisecond)
		Expect(o.replies).To(HaveKey(uint64(1)))
		rec.Status = claim.Done
		o.Settle(rec)
		o.record(now, o.Stop())
		run(2 * callTime)
		Expect(store.all[len(store.all)-1].Piece.Records).To(HaveLen(1), "the last piece, written without the interval between writes")
		Expect(o.Idle()).To(BeTrue())
	})

	It("refuses claims that wait for the opening as not run", func() {
		o := newOwner(1)
		now := time.Unix(0, 0)
		o.record(now, o.Claim(now, 1, claim.Record{Key: "k", Request: "r"}))
		o.step(now, &pieces{})
		o.record(now, o.Stop())
		o.record(now, o.Claim(now, 2, claim.Record{Key: "l", Request: "s"}))
		for _, ticket := range []uint64{1, 2} {
			Expect(o.replies).To(HaveKey(ticket))
			Expect(o.replies[ticket].Verdict.Cause).To(Equal(verdict.NotOwner))
		}
		Expect(o.Idle()).To(BeFalse(), "a call is still in flight")
		o.step(now.Add(callTime), &pieces{})
		Expect(o.Idle()).To(BeTrue())
	})
})
