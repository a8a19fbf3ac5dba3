package inifile_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
)

func TestInifile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inifile")
}

var _ = DescribeTable("malformed text is an error with its position",
	func(text, want string) {
		_, err := inifile.Parse("f.ini", []byte(text))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
	Entry("duplicate section", "[a b]\n[a b]\n", "f.ini:2: [a b] duplicate section, first in line 1"),
	Entry("duplicate section with other blanks", "[a b]\n[a  b]\n", "duplicate section"),
	Entry("duplicate key", "[a]\nx=1\nx=2\n", "f.ini:3: [a] x: duplicate key, first in line 2"),
	Entry("key before any section", "x=1\n", "f.ini:1: key before the first section"),
	Entry("no equals sign", "[a]\nx\n", `f.ini:2: [a] malformed line "x"`),
	Entry("unclosed header", "[a\n", "malformed section line"),
	Entry("header of three words", "[a b c]\n", "write [kind] or [kind name]"),
	Entry("not UTF-8", "[a]\nx=\xff\n", "not UTF-8"),
	Entry("quoted value of several lines", "[a]\nx = \"\"\"1\ny\n\"\"\"\n", "malformed line"),
)

var _ = Describe("Reader", func() {
	read := func(text string, use func(*inifile.Reader)) string {
		f, err := inifile.Parse("f.ini", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		errs := &inifile.Error{}
		r := inifile.NewReader(f.Sections[0], errs)
		use(r)
		r.Finish()
		return errs.Error()
	}

	It("reads values without their comments, and defaults", func() {
		Expect(read("[a]\nd = 300ms ; comment\np = 5%\nl = x, y ,\n", func(r *inifile.Reader) {
			Expect(r.Duration("d", 0, 0, time.Hour)).To(Equal(300 * time.Millisecond))
			Expect(r.Percent("p", 0)).To(Equal(0.05))
			Expect(r.List("l")).To(Equal([]string{"x", "y"}))
			Expect(r.Int("n", 7, 0, 9)).To(Equal(7))
		})).To(BeEmpty())
	})

	DescribeTable("refuses", func(line, want string) {
		got := read("[a]\n"+line+"\n", func(r *inifile.Reader) {
			r.Duration("duration", 0, time.Millisecond, time.Hour)
			r.Percent("percent", 0)
			r.Int("number", 0, 0, 9)
			r.Bool("flag", false)
			r.Addr("addr", "")
			r.Time("time")
		})
		Expect(got).To(HavePrefix("f.ini:2: [a] "))
		Expect(got).To(ContainSubstring(want))
	},
		Entry("unit missing", "duration = 300", "such as 300ms"),
		Entry("out of bounds", "duration = 2h", "from 1ms to 1h0m0s"),
		Entry("missing percent sign", "percent = 5", "such as 5%"),
		Entry("not a number", "percent = NaN%", "from 0% to 100%"),
		Entry("number too large", "number = 10", "whole number from 0 to 9"),
		Entry("not yes or no", "flag = true", "use one of yes, no"),
		Entry("host name", "addr = localhost:1", "IP:port"),
		Entry("missing time zone", "time = 2026-12-03T21:00:00", "2026-12-03T21:00:00Z"),
		Entry("unknown key", "duratoin = 1s", "unknown key; did you mean duration?"),
		Entry("unknown key that resembles no other", "something-else = 1s", "unknown key; remove it"),
	)
})

func FuzzParse(f *testing.F) {
	f.Add("[a b]\nx = 1\n")
	f.Add("[a]\nx = \"\"\"\ny\n")
	f.Add("[a]\nx = `1\n")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := inifile.Parse("f.ini", []byte(text))
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, s := range file.Sections {
			if seen[s.Header()] {
				t.Fatalf("section %q accepted twice", s.Header())
			}
			seen[s.Header()] = true
			if strings.ContainsAny(s.Header(), "]\n") {
				t.Fatalf("malformed header %q accepted", s.Header())
			}
		}
	})
}
