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

var _ = DescribeTable("any signal counts and ends only by its own source",
	func(events func(m *drain.Tracker), after time.Duration, want bool) {
		m := drain.New()
		events(m)
		Expect(m.IsDraining(begin.Add(after), "u")).To(Equal(want))
		Expect(m.Draining(begin.Add(after))).To(HaveLen(map[bool]int{true: 1, false: 0}[want]))
	},
	Entry("no signal", func(*drain.Tracker) {}, time.Duration(0), false),
	Entry("tables alone, while the upstream reports ready and the list shows it live", func(m *drain.Tracker) {
		m.UpdateTables(2, []string{"u"})
		m.UpdateList(begin, nil)
		m.UpdateUpstream("u", "s1", false)
	}, time.Minute, true),
	Entry("older revision of the tables is ignored", func(m *drain.Tracker) {
		m.UpdateTables(3, []string{"u"})
		m.UpdateTables(2, nil)
	}, time.Minute, true),
	Entry("newer revision without the key ends the signal", func(m *drain.Tracker) {
		m.UpdateTables(3, []string{"u"})
		m.UpdateTables(4, nil)
	}, time.Duration(0), false),
	Entry("list that lags behind the previous one doesn't end the signal", func(m *drain.Tracker) {
		m.UpdateList(begin, []string{"u"})
		m.UpdateList(begin.Add(2*time.Second), nil)
	}, 3*time.Second, true),
	Entry("signal of the list expires", func(m *drain.Tracker) {
		m.UpdateList(begin, []string{"u"})
		m.UpdateList(begin.Add(time.Minute), nil)
	}, time.Minute, false),
	Entry("late report of a draining process is ignored", func(m *drain.Tracker) {
		m.UpdateUpstream("u", "s1", true)
		m.UpdateUpstream("u", "s1", false)
	}, time.Minute, true),
	Entry("new process of the upstream ends the signal", func(m *drain.Tracker) {
		m.UpdateUpstream("u", "s1", true)
		m.UpdateUpstream("u", "s2", false)
	}, time.Duration(0), false),
)
