package egress

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/tables"
)

var _ = Describe("an availability zone that was out of service", func() {
	It("warms its replicas up again when it is back in service", func() {
		cfg := replicaConfig{firstOwner: true, pool: &tables.Pool{Slots: 4, ColdSlots: 1}}
		now := time.Now().Add(-time.Hour)
		g := newGate(&cfg, true, now)
		for i := range 1000 {
			g.warmup.Succeeded(now.Add(time.Duration(i)*10*time.Millisecond), time.Millisecond, true)
		}
		limit := func(outOfService bool) int {
			cfg.zoneOut = outOfService
			g.configure(&cfg, now.Add(time.Minute))
			return g.warmup.Limit(now.Add(time.Minute))
		}
		Expect(limit(false)).To(Equal(4))
		Expect(limit(true)).To(Equal(4), "attempts in flight may finish")
		Expect(limit(false)).To(Equal(1))
	})
})
