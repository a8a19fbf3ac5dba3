package tables_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

func TestTables(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tables")
}

const routes = `[route counter]
kind = query
pools = reproofing
deadline = 300ms
[route order]
kind = action
pools = reproofing
`

const pools = `[fleet]
zones-out = b
[pool reproofing]
shards = 2
slots = 4
connections = 35
connect-cost = 6ms
leaving = r1-b
version = v2
version-from = v1
version-start = 2026-12-03T20:00:00Z
version-by = 2026-12-03T21:00:00Z
upstream.r0-a = 127.0.1.1:9000 zone=a shard=0 version=v1
upstream.r1-b = 127.0.1.2:9000 zone=b shard=1 version=v2 ; new
`

func source(name, text string) tables.Source {
	return tables.Source{Name: name, Text: []byte(text)}
}

var _ = Describe("Parse", func() {
	It("reads both tables from two files and keeps their text", func() {
		t, err := tables.Parse(source("routes", routes), source("pools", pools))
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Routes["counter"].Merge).To(Equal(tables.MergeConcat))
		Expect(t.Routes["order"].Idempotent).To(BeFalse())
		Expect(t.ZonesOutOfService).To(HaveKey("b"))
		p := t.Pools["reproofing"]
		Expect(p.ByShard(1)).To(HaveLen(1))
		Expect(p.ByShard(1)[0].Draining).To(BeTrue())
		Expect(p.Rollout.Share).To(Equal(1.0))
		reparsed, err := tables.Parse(tables.Source{Name: "stored", Text: t.Text})
		Expect(err).NotTo(HaveOccurred())
		Expect(reparsed).To(Equal(t))
	})

	DescribeTable("reports the problem and how to fix it", func(old, changed, want string) {
		text := routes + pools
		Expect(text).To(ContainSubstring(old))
		_, err := tables.Parse(source("t.ini", strings.Replace(text, old, changed, 1)))
		var problems *inifile.Error
		Expect(errors.As(err, &problems)).To(BeTrue())
		Expect(err.Error()).To(MatchRegexp(want))
	},
		Entry("unknown key", "deadline =", "deadlin =", `t.ini:4: \[route counter\] deadlin: unknown key; did you mean deadline\?`),
		Entry("missing pool", "pools = reproofing", "pools = ledger", `no pool "ledger"; add \[pool ledger\]`),
		Entry("bad unit", "300ms", "300", `\[route counter\] deadline: bad duration "300"; .*300ms`),
		Entry("shard out of range", "shard=1", "shard=2", `upstream.r1-b: bad shard "2", the pool has shards 0 to 1`),
		Entry("host name as address", "127.0.1.1:9000", "host:9000", `bad address .*write IP:port`),
		Entry("shard without upstream", "shards = 2", "shards = 3", `shard 2 has no upstream`),
		Entry("duplicate address", "127.0.1.2:9000", "127.0.1.1:9000", `also the address of upstream "r0-a"`),
		Entry("unknown zone out of service", "zones-out = b", "zones-out = c", `no upstream is in availability zone "c"; use one of a, b`),
		Entry("unknown draining upstream", "leaving = r1-b", "leaving = r9", `leaving: no upstream "r9"`),
		Entry("rollout to an unknown version", "version = v2", "version = v3", `no upstream of the pool has version "v3"`),
		Entry("rollout without an end time", "version-by = 2026-12-03T21:00:00Z", "", `no version-by`),
		Entry("rollout that ends before it starts", "2026-12-03T21", "2026-12-03T19", `version-by: it is not after`),
		Entry("more cold slots than slots", "slots = 4", "slots = 4\ncold-slots = 5", `cold-slots: 5 is more than slots = 4`),
		Entry("missing key", "connections = 35\n", "", `connections: key is missing`),
		Entry("merge of an action that is not first", "kind = action", "kind = action\nmerge = sum", `merge: an action has one answer`),
		Entry("query that is not idempotent", "kind = query", "idempotent = no", `a query is always idempotent`),
		Entry("unknown section", "[fleet]", "[fleets]", `unknown section`),
		Entry("bad name", "[route counter]", "[route a/b]", `bad name "a/b"`),
		Entry("duplicate key", "deadline = 300ms", "deadline = 300ms\ndeadline = 1s", `duplicate key, first in line 4`),
	)

	It("reports all problems at once, and sections that two files define", func() {
		_, err := tables.Parse(source("a", routes+pools), source("b", "[pool reproofing]\nshards = 1\n"))
		Expect(err).To(MatchError(ContainSubstring("b:1: [pool reproofing] duplicate section, first in a:")))
		_, err = tables.Parse(source("a", strings.NewReplacer("300ms", "soon", "slots = 4", "slots = x").Replace(routes+pools)))
		var problems *inifile.Error
		Expect(errors.As(err, &problems)).To(BeTrue())
		Expect(problems.Problems).To(HaveLen(2))
	})
})

var _ = Describe("Diff", func() {
	It("reports added, removed and changed keys in the notation of the tables", func() {
		old, err := tables.Parse(source("t", routes+pools))
		Expect(err).NotTo(HaveOccurred())
		next, err := tables.Parse(source("t", strings.NewReplacer("300ms", "200ms", "leaving = r1-b\n", "", "zones-out = b", "zones-out = a, b").Replace(routes+pools)))
		Expect(err).NotTo(HaveOccurred())
		var lines []string
		for _, c := range tables.Diff(old, next) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal([]string{
			"[fleet] ~ zones-out: b -> a, b",
			"[pool reproofing] - leaving = r1-b",
			"[route counter] ~ deadline: 300ms -> 200ms",
		}))
		Expect(tables.Diff(old, old)).To(BeEmpty())
		Expect(len(tables.Diff(nil, old))).To(Equal(len(tables.Diff(old, nil))))
	})
})

func FuzzParse(f *testing.F) {
	f.Add(routes + pools)
	f.Add("\ufeff" + routes)
	f.Add("[pool p]\nshards = 1\nslots = 1\nconnections = 1\nupstream.a = [::1]:9 zone=a shard=0\n")
	f.Add("[route r]\npools = \"p\" ; c\n[fleet]\nzones-out = \"\"\"a\nb\"\"\"\n")
	f.Add("[pool p]\nupstream. = x=y\nversion-share = NaN%\ndeadline = -1h\n")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := tables.Parse(source("fuzz", text))
		if err != nil {
			if got != nil {
				t.Fatal("Parse returned both tables and an error")
			}
			return
		}
		reparsed, err := tables.Parse(tables.Source{Name: "again", Text: got.Text})
		if err != nil || !reflect.DeepEqual(got, reparsed) {
			t.Fatalf("the returned text does not parse to the same tables: %v", err)
		}
	})
}

// benchText returns tables with one pool of n upstreams.
func benchText(n int) []byte {
	text := fmt.Appendf(nil, "[pool p]\nshards = 1\nslots = 4\nconnections = 35\n")
	for i := range n {
		text = fmt.Appendf(text, "upstream.u%d = 10.%d.%d.%d:9000 zone=a shard=0 version=v1\n", i, i>>16, i>>8&255, i&255)
	}
	return text
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{120, 1200, 12000} {
		text := benchText(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				if _, err := tables.Parse(tables.Source{Name: "t", Text: text}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
