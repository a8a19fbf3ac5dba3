package drain

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = It("keeps the reported states of no more upstreams than the tables contain", func() {
	m, now := New(), time.Unix(1_700_000_000, 0)
	m.UpdateTables(1, nil)
	for i := range 1000 {
		m.UpdateUpstream(fmt.Sprint("ready-", i), "s1", false)
		m.UpdateUpstream(fmt.Sprint(i), "s1", true)
		m.Retain(2, []string{"0", fmt.Sprint(i)})
	}
	Expect([]int{len(m.drainingStarts), len(m.draining)}).To(Equal([]int{2, 2}))
	m.Retain(1, nil)
	Expect(m.Draining(now)).To(Equal([]string{"0", "999"}), "older tables remove nothing")
	m.UpdateUpstream("0", "s1", false)
	Expect(m.IsDraining(now, "0")).To(BeTrue(), "an upstream in the tables keeps its start IDs")
})
