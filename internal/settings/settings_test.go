package settings_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var _ = Describe("settings", func() {
	It("parses the written default file into the default settings", func() {
		var out bytes.Buffer
		Expect(settings.WriteDefault(&out)).To(Succeed())
		s, err := settings.Parse("printed", out.Bytes())
		Expect(err).NotTo(HaveOccurred())
		Expect(s).To(Equal(settings.Default()))
	})

	DescribeTable("refuses", func(text, want string) {
		_, err := settings.Parse("sw.ini", []byte(text))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("unknown section", "[entyr]\n", "sw.ini:1: [entyr] unknown section; use one of node, entry"),
		Entry("unknown key", "[entry]\nhegding = no\n", "sw.ini:2: [entry] hegding: unknown key; did you mean hedging?"),
		Entry("bad unit", "[node]\ngrace = 30\n", "sw.ini:2: [node] grace: bad duration"),
		Entry("host name", "[entry]\nlisten = localhost:7000\n", "write IP:port"),
	)

	It("reads shares as percentages or numbers, and factors and pairs", func() {
		s, err := settings.Parse("sw.ini", []byte("[direct]\nretry-share = 0.25\ncold-overage = 1.5\nregions = a=north, b=south\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Direct.RetryShare).To(Equal(0.25))
		Expect(s.Direct.ColdOverage).To(Equal(1.5))
		Expect(s.Direct.Regions).To(Equal(map[string]string{"a": "north", "b": "south"}))
		s, err = settings.Parse("sw.ini", []byte("[direct]\nretry-share = 30%\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Direct.RetryShare).To(BeNumerically("~", 0.3))
	})

	It("reads limits with a fraction, which the platform's small deployments have", func() {
		s, err := settings.Parse("sw.ini", []byte("[direct]\ncold-slack = 0.5\nretry-slack = 33.1578947368421\nexposure-slack = 2.5\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Direct.ColdSlack).To(Equal(0.5))
		Expect(s.Direct.RetrySlack).To(Equal(33.1578947368421))
		Expect(s.Direct.ExposureSlack).To(Equal(2.5))
	})

	DescribeTable("refuses invalid values in [direct]", func(text, want string) {
		_, err := settings.Parse("sw.ini", []byte("[direct]\n"+text+"\n"))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("seeds", "seeds = 10.0.0.1:80, vm-1:80", `sw.ini:2: [direct] seeds: bad address "vm-1:80"; write IP:port, IP:port`),
		Entry("regions", "regions = a", `sw.ini:2: [direct] regions: bad item "a"; write name=value`),
		Entry("cold-overage", "cold-overage = much", "[direct] cold-overage: bad number"),
		Entry("retry-share", "retry-share = 1.5", "[direct] retry-share"),
		Entry("retry-slack that is negative", "retry-slack = -1", `[direct] retry-slack: bad number "-1"; write a number from 0 to`),
		Entry("cold-slack that is no number", "cold-slack = NaN", `[direct] cold-slack: bad number "NaN"`),
		Entry("exposure-slack without bound", "exposure-slack = Inf", `[direct] exposure-slack: bad number "Inf"`),
	)

	It("reports all problems of a file together", func() {
		_, err := settings.Parse("sw.ini", []byte("[node]\ngrace = 30\n[log]\nlevel = loud\n"))
		Expect(err).To(MatchError(And(ContainSubstring("grace"), ContainSubstring("level"))))
	})
})
