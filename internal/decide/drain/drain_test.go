package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

var begin = time.Unix(1_700_000_000, 0)

var _ = DescribeTable("the first sign counts and ends by its own source",
	func(events func(m *drain.Tracker), after time.Duration, want bool) {
		m := drain.New()
		events(m)
		Expect(m.IsDraining(begin.Add(after), "u")).To(Equal(want))
		Expect(m.All(begin.Add(after))).To(HaveLen(map[bool]int{true: 1, false: 0}[want]))
	},
	Entry("no sign", func(*drain.Tracker) {}, time.Duration(0), false),
	Entry("table alone, while the upstream says ready and the list says live", func(m *drain.Tracker) {
		m.UpdateTables(2, []string{"u"})
		m.UpdateList(begin, nil)
		m.UpdateUpstream("u", "s1", false)
	}, time.Minute, true),
	Entry("table of an older revision is ignored", func(m *drain.Tracker) {
		m.UpdateTables(3, []string{"u"})
		m.UpdateTables(2, nil)
	}, time.Minute, true),
	Entry("a newer revision takes the key back", func(m *drain.Tracker) {
		m.UpdateTables(3, []string{"u"})
		m.UpdateTables(4, nil)
	}, time.Duration(0), false),
	Entry("a list that lags behind the last one", func(m *drain.Tracker) {
		m.UpdateList(begin, []string{"u"})
		m.UpdateList(begin.Add(2*time.Second), nil)
	}, 3*time.Second, true),
	Entry("a list that says so no more for long", func(m *drain.Tracker) {
		m.UpdateList(begin, []string{"u"})
		m.UpdateList(begin.Add(time.Minute), nil)
	}, time.Minute, false),
	Entry("a late report of a process that drains", func(m *drain.Tracker) {
		m.UpdateUpstream("u", "s1", true)
		m.UpdateUpstream("u", "s1", false)
	}, time.Minute, true),
	Entry("a new process of the upstream", func(m *drain.Tracker) {
		m.UpdateUpstream("u", "s1", true)
		m.UpdateUpstream("u", "s2", false)
	}, time.Duration(0), false),
)
