package tables_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/tables"
)

const directTables = `[pool a]
shards = 1
slots = 1
connections = 36
discovered = yes
cold-rate = 20
cold-time = 3s
[pool b]
shards = 1
slots = 1
connections = 36
discovered = yes
[route search]
kind = query
pools = a, b
merge = top
top = 20
host = desk.example
prefix = /coats/
objective = 200ms
max-attempts = 2
priority = 1
regions = north, south
[route ticket]
kind = action
pools = a, b
weights = 3, 1
`

var _ = Describe("keys of the direct path", func() {
	It("are parsed, and changes of them appear in the diff", func() {
		t, err := tables.Parse(source("t", directTables))
		Expect(err).NotTo(HaveOccurred())
		r := t.Routes["search"]
		Expect(r.Merge).To(Equal(tables.MergeTop))
		Expect(r.Top).To(Equal(20))
		Expect(r.Objective).To(Equal(200 * time.Millisecond))
		Expect(r.Regions).To(Equal([]string{"north", "south"}))
		Expect(t.Routes["ticket"].Weights).To(Equal([]float64{3, 1}))
		Expect(t.Pools["a"].ColdRate).To(Equal(20.0))
		changed, err := tables.Parse(source("t", strings.Replace(directTables, "priority = 1", "priority = 2", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(tables.Diff(t, changed)).To(ConsistOf(HaveField("Key", "priority")))
	})

	DescribeTable("are validated", func(old, with, want string) {
		_, err := tables.Parse(source("t", strings.Replace(directTables, old, with, 1)))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("prefix without slashes", "prefix = /coats/", "prefix = coats", `[route search] prefix: bad prefix "coats"; begin and end it with a slash`),
		Entry("too few weights", "weights = 3, 1", "weights = 3", "1 weights for 2 pools"),
		Entry("a weight that is not a number", "weights = 3, 1", "weights = 3, x", `bad weight "x"`),
		Entry("top without merge = top", "merge = top\n", "", "merge = top and top = NUMBER go together"),
		Entry("several pools without weights", "weights = 3, 1\n", "", "an action has one pool"),
	)
})
