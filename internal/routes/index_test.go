package routes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/routes"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

func TestRoutes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routes")
}

var _ = DescribeTable("Find", func(host, path, want string) {
	all := map[string]*tables.Route{}
	for _, r := range []tables.Route{
		{Name: "coats", Host: "desk.example", Prefix: "/coats/"},
		{Name: "rush", Host: "desk.example", Prefix: "/coats/rush/"},
		{Name: "other", Host: "floor.example", Prefix: "/coats/"},
		{Name: "named", Prefix: "/coats/"},
	} {
		all[r.Name] = &r
	}
	got := routes.New(all).Find(host, path)
	if want == "" {
		Expect(got).To(BeNil())
		return
	}
	Expect(got).NotTo(BeNil())
	Expect(got.Name).To(Equal(want))
},
	Entry("prefix of the path", "desk.example", "/coats/7", "coats"),
	Entry("the longest prefix wins", "desk.example", "/coats/rush/7/8", "rush"),
	Entry("falls back to the shorter one", "desk.example", "/coats/slow/7", "coats"),
	Entry("the prefix itself", "desk.example", "/coats/", "coats"),
	Entry("a path without the final slash of the prefix", "desk.example", "/coats", ""),
	Entry("a segment that only starts with the last one of the prefix", "desk.example", "/coatsx/1", ""),
	Entry("another host", "floor.example", "/coats/1", "other"),
	Entry("host with port, in another case", "Desk.Example:8080", "/coats/1", "coats"),
	Entry("unknown host", "none.example", "/coats/1", ""),
)
