package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

// callTime is the duration of a store call in these tests.
const callTime = 3 * time.Millisecond

// measurement holds the writes, the bytes and the waiting times of a run.
type measurement struct {
	writes, bytes int
	waits         []time.Duration
}

// drive sends rate claims per second to one range and settles each with a small
// reply 10 ms after its grant. A store call takes callTime.
func drive(rate float64, length time.Duration) measurement {
	rng := rand.New(rand.NewPCG(1, 2))
	r := claim.NewRange(rng)
	var m measurement
	type settlement struct {
		at  time.Duration
		rec claim.Record
	}
	var settlements []settlement
	requestedAt := map[uint64]time.Duration{}
	recs := map[uint64]claim.Record{}
	var pending *claim.Action
	var chain string
	var doneAt time.Duration
	next, n := time.Duration(0), uint64(0)
	at := func(t time.Duration) time.Time { return time.Unix(0, 0).Add(t) }
	record := func(t time.Duration, replies []claim.Reply) {
		for _, reply := range replies {
			m.waits = append(m.waits, t-requestedAt[reply.Ticket])
			rec := recs[reply.Ticket]
			rec.Status, rec.Reply = claim.Done, []byte("ok")
			settlements = append(settlements, settlement{t + 10*time.Millisecond, rec})
		}
	}
	for t := time.Duration(0); t < length; t += 100 * time.Microsecond {
		for ; next <= t; next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			n++
			requestedAt[n] = t
			recs[n] = claim.Record{Key: fmt.Sprintf("ticket-%08d", n), Request: fmt.Sprintf("vm-1-5f0c9a11-%d", n), Fingerprint: n}
			record(t, r.Claim(at(t), n, recs[n]))
		}
		for len(settlements) > 0 && settlements[0].at <= t {
			r.Settle(settlements[0].rec)
			settlements = settlements[1:]
		}
		if pending != nil && t >= doneAt {
			res := claim.Result{Lease: 1}
			if pending.Call == claim.List {
				res.Found = []claim.StoredPiece{{Chain: chain}}
			}
			pending = nil
			record(t, r.OnResult(at(t), res))
		}
		if a := r.Next(at(t)); a.Call != claim.None {
			pending, doneAt = &a, t+callTime
			if a.Call == claim.Create {
				chain = a.Chain
			}
			if a.Call != claim.List {
				m.writes++
			}
			for _, rec := range a.Piece.Records {
				m.bytes += len(rec.Key) + len(rec.Request) + len(rec.Reply) + 20
			}
		}
	}
	slices.Sort(m.waits)
	return m
}

func (m measurement) quantile(q float64) time.Duration {
	return m.waits[int(q*float64(len(m.waits)-1))]
}

var _ = Describe("Range", func() {
	It("batches many claims into one write", func() {
		m := drive(300, 5*time.Second)
		Expect(len(m.waits)).To(BeNumerically(">", 1300))
		Expect(m.writes).To(BeNumerically("<=", 5*20+5), "one write every 50 ms, and those of the opening")
	})

	It("refuses claims at once while the store is unavailable, with a retry delay", func() {
		r := claim.NewRange(rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(0, 0)
		Expect(r.Claim(now, 1, claim.Record{Key: "k", Request: "r"})).To(BeEmpty())
		Expect(r.Next(now).Call).To(Equal(claim.Grant))
		replies := r.OnResult(now, claim.Result{Status: claim.Unavailable})
		replies = append(replies, r.Claim(now, 2, claim.Record{Key: "k", Request: "r"})...)
		Expect(replies).To(HaveLen(2))
		for _, reply := range replies {
			Expect(reply.Verdict.Outcome).To(Equal(verdict.NotRun))
			Expect(reply.Verdict.RetryAfter).To(BeNumerically(">", 0))
		}
	})
})

// A claim that is released because its requester stopped waiting must not be
// released by this owner once another one may have granted it: the key would be
// free while the request may have been dispatched.
var _ = Describe("a claim whose requester stopped waiting while it was written", func() {
	It("is not released after another process has owned the range", func() {
		r := claim.NewRange(rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(0, 0)
		rec := claim.Record{Key: "k", Request: "r"}
		var stored []claim.StoredPiece // without the claims of the range under test
		// open answers the calls that open the range and returns the first write
		// that has records.
		open := func() claim.Action {
			for range 20 {
				now = now.Add(time.Second)
				a := r.Next(now)
				switch {
				case a.Call == claim.Grant:
					r.OnResult(now, claim.Result{Lease: 1})
				case a.Call == claim.List:
					r.OnResult(now, claim.Result{Found: slices.Clone(stored)})
				case a.Call == claim.Read:
					seal := claim.Piece{Writer: "next owner", Seal: true}
					r.OnResult(now, claim.Result{Found: []claim.StoredPiece{{Chain: a.Chain, Number: a.Number, Piece: seal}}})
				case a.Call == claim.Create && len(a.Piece.Records) > 0:
					return a
				case a.Call == claim.Create:
					stored = append(stored, claim.StoredPiece{Chain: a.Chain, Number: a.Number, Revision: uint64(len(stored)), Piece: a.Piece})
					r.OnResult(now, claim.Result{})
				}
			}
			Fail("no write with records within 20 calls: the range did not open")
			return claim.Action{}
		}
		r.Claim(now, 1, rec)
		Expect(open().Piece.Records).To(HaveLen(1))
		r.Cancel(1)
		stored[0].Piece.Seal = true
		stored = append(stored, claim.StoredPiece{Chain: "next owner", Revision: 1, Piece: claim.Piece{Writer: "next owner", Records: []claim.Record{rec}}})
		r.OnResult(now, claim.Result{Status: claim.Conflict})
		r.Claim(now, 2, claim.Record{Key: "other", Request: "s"})
		Expect(open().Piece.Records).To(HaveEach(HaveField("Key", "other")))
		replies := r.Claim(now, 3, claim.Record{Key: "k", Request: "t"})
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Verdict.Cause).To(Equal(verdict.DuplicateKey))
	})
})

// BenchmarkClaims measures writes and waiting times at the claim rate of the
// fleet: about 4 per second today and 4,500 at the planned size.
func BenchmarkClaims(b *testing.B) {
	for _, claimsPerSecond := range []float64{4, 450, 4500} {
		b.Run(fmt.Sprint(claimsPerSecond), func(b *testing.B) {
			const length = 30 * time.Second
			var m measurement
			for b.Loop() {
				m = drive(claimsPerSecond/claim.Ranges, length)
			}
			b.ReportMetric(float64(m.writes)*claim.Ranges/length.Seconds(), "writes/s")
			b.ReportMetric(float64(m.bytes)*claim.Ranges/length.Seconds(), "bytes/s")
			b.ReportMetric(2*claimsPerSecond, "baseline-writes/s")
			b.ReportMetric(float64(m.quantile(0.5).Microseconds()), "p50-us")
			b.ReportMetric(float64(m.quantile(0.99).Microseconds()), "p99-us")
		})
	}
}

// BenchmarkClaim measures the CPU time of one claim and its settlement,
// including the cost of the benchmark's simulated clock.
func BenchmarkClaim(b *testing.B) {
	n := 0
	for b.Loop() {
		n += len(drive(20_000, time.Second).waits)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/claim")
}

// BenchmarkTakeOver measures a takeover that loads what one range holds: the
// settled claims of Retention at up to 4,500 per second over all ranges, the
// rate of the fleet at its planned size.
func BenchmarkTakeOver(b *testing.B) {
	for _, claimsPerSecond := range []int{45, 450, 4500} {
		b.Run(fmt.Sprint(claimsPerSecond), func(b *testing.B) {
			const perPiece = 20
			claims := claimsPerSecond * int(claim.Retention.Seconds()) / claim.Ranges
			var found []claim.StoredPiece
			bytes := 0
			for i := range claims {
				if i%perPiece == 0 {
					found = append(found, claim.StoredPiece{Chain: "old", Number: len(found), Lease: 1, Revision: uint64(len(found))})
				}
				rec := claim.Record{Key: fmt.Sprintf("ticket-%08d", i), Request: fmt.Sprintf("vm-1-5f0c9a11-%d", i), Fingerprint: uint64(i)}
				done := rec
				done.Status, done.Reply = claim.Done, []byte("ok")
				p := &found[len(found)-1].Piece
				p.Records = append(p.Records, rec, done)
				bytes += 2 * (len(rec.Key) + len(rec.Request) + 20)
			}
			found = append(found, claim.StoredPiece{Chain: "old", Number: len(found), Revision: uint64(len(found)), Piece: claim.Piece{Seal: true}})
			for b.Loop() {
				now := time.Unix(0, 0)
				r := claim.NewRange(rand.New(rand.NewPCG(1, 2)))
				r.Claim(now, 1, claim.Record{Key: "k", Request: "r"})
				r.Next(now)
				r.OnResult(now, claim.Result{Lease: 2})
				anchor := r.Next(now)
				r.OnResult(now, claim.Result{})
				r.Next(now)
				r.OnResult(now, claim.Result{Found: append(slices.Clone(found), claim.StoredPiece{Chain: anchor.Chain})})
				if r.Next(now).Call != claim.Create {
					b.Fatal("the range did not open: next action is not a write")
				}
			}
			b.ReportMetric(float64(claims), "claims")
			b.ReportMetric(float64(bytes), "bytes-read")
		})
	}
}
