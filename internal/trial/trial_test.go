package trial

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/deployment"
	"github.com/sapphirewall/sapphirewall/internal/load"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

var _ = DescribeTable("an example deployment", func(dir string, vms, upstreams int) {
	d, err := deployment.Load(filepath.Join("../../examples", dir))
	Expect(err).NotTo(HaveOccurred())
	e := &Env{Deployment: d}
	pool := e.rolloutPool()
	text := rolloutTables(d.Tables, pool, time.Unix(0, 0), time.Unix(60, 0))
	moved, err := tables.Parse(tables.Source{Name: "rollout", Text: text})
	Expect(err).NotTo(HaveOccurred())
	Expect(moved.Pools[pool].Rollout.To).To(Equal(newVersion))
	Expect(moved.Pools[pool].Upstreams).To(HaveLen(2 * len(d.Tables.Pools[pool].Upstreams)))
	n := 0
	for _, p := range d.Tables.Pools {
		n += len(p.Upstreams)
	}
	Expect(n).To(Equal(upstreams))
	all := d.VMSettings(platformAddr)
	Expect(all).To(HaveLen(vms))
	for _, s := range all {
		Policies[0].Apply(s)
		back, err := settings.Parse("vm.ini", vmSettingsText(s))
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Entry.PickPolicy).To(Equal("round-robin"))
		Expect(back.Egress.Limits).To(BeFalse())
		Expect(d.ZoneOf(s.Egress.Listen)).To(Equal(s.Node.Zone))
		Expect(d.OneWayDelay(s.Node.Zone, s.Egress.Listen)).To(BeZero())
	}
	Expect(d.OneWayDelay(all[0].Node.Zone, all[1].Egress.Listen)).To(Equal(d.InterZoneRTT / 2))
},
	Entry("of the co-operative", "ishikari", 9, 25*3+13+6),
	Entry("of Van Ommeren", "van-ommeren", 8, 25*3+25+13),
)

var _ = Describe("a trial", func() {
	began := time.Unix(1000, 0)

	It("summarizes results by the second in which they were due", func() {
		at := func(ms int, k load.Kind) load.CheckedResult {
			due := began.Add(time.Duration(ms) * time.Millisecond)
			return load.CheckedResult{Result: load.Result{Due: due, Done: due.Add(10 * time.Millisecond)}, Kind: k, Coverage: 0.5}
		}
		got := seconds(began, 2*time.Second, []load.CheckedResult{at(10, load.Complete), at(990, load.Refused), at(1500, load.Partial)})
		Expect(got).To(HaveLen(2))
		Expect(got[0]).To(And(HaveField("Asked", 2), HaveField("Answered", 1)))
		Expect(got[1]).To(And(HaveField("Asked", 1), HaveField("Coverage", 0.5)))
	})

	It("measures the new version's share and its last attempt after a fault", func() {
		d, err := deployment.Load("../../examples/ishikari")
		Expect(err).NotTo(HaveOccurred())
		e := &Env{Deployment: d, StartedAt: began, notes: map[string]float64{"rollout_start_at": 1, "rollout_by_at": 5, "fault_at": 2}}
		var records []standin.Record
		for s := range 8 {
			for i := range 10 {
				version := "v1"
				if i == 0 && s < 4 {
					version = newVersion
				}
				records = append(records, standin.Record{Pool: e.rolloutPool(), Version: version, Arrived: began.Add(time.Duration(s) * time.Second)})
			}
		}
		notes := e.measure(records)
		Expect(notes).To(And(HaveKeyWithValue("new_version_share", 0.05), HaveKeyWithValue("new_version_most_in_1s", 0.1),
			HaveKeyWithValue("new_version_share_after_by", 0.0), HaveKeyWithValue("last_work_after_fault_s", 1.0)))
	})

	It("rejects unknown names, and plots and prints results", func() {
		Expect(CheckNames(Options{Scenarios: []string{"storm"}})).To(MatchError(ErrUnknownName))
		Expect(CheckNames(Options{Scenarios: ScenarioNames(), Policies: []string{"tier", "baseline"}})).To(Succeed())
		dir := GinkgoT().TempDir()
		r := &Results{Deployment: "d", Outcomes: []*Outcome{{Scenario: "calm", Policy: "tier", Seconds: []Second{{Asked: 1}, {Asked: 2}}, Report: load.NewSummary(nil, nil, nil)}}}
		Expect(r.Plot(dir)).To(Succeed())
		Expect(os.ReadFile(filepath.Join(dir, "d-calm-p99.svg"))).To(ContainSubstring("<svg"))
		r.WriteMarkdown(GinkgoWriter)
	})
})
