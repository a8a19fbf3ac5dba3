package backoff_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/backoff"
)

func TestBackoff(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backoff")
}

var _ = Describe("Pacer", func() {
	It("bounds the rate of calls and the delay, whatever the outcomes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cfg := backoff.DefaultConfig()
			p := backoff.New(cfg, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			now, calls := time.Unix(0, 0), 0
			for now.Before(time.Unix(60, 0)) {
				if at := p.Next(now); at.After(now) {
					if at.Sub(now) > cfg.Max {
						t.Fatalf("delay of %v is above the maximum", at.Sub(now))
					}
					now = at
				}
				p.Called(now)
				calls++
				p.Done(now, rapid.IntRange(0, 3).Draw(t, "outcome") > 0)
			}
			if float64(calls) > cfg.Burst+cfg.Rate*60+1 {
				t.Fatalf("%d calls in a minute exceed the burst and rate", calls)
			}
		})
	})
})
