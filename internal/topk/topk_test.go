package topk_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/topk"
)

func TestTopK(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "topk")
}

// part returns one record for each letter; the record repeats the letter.
func part(letters string) []byte {
	var out []byte
	for _, c := range []byte(letters) {
		out = append(out, bytes.Repeat([]byte{c}, topk.RecordBytes)...)
	}
	return out
}

var _ = DescribeTable("Merge", func(k int, want string, parts ...[]byte) {
	Expect(string(topk.Merge(parts, k))).To(Equal(string(part(want))))
},
	Entry("greatest first over all parts", 3, "zyx", part("axz"), part("yb")),
	Entry("duplicates are kept", 3, "zzy", part("zy"), part("z")),
	Entry("fewer records than k", 5, "ba", part("ab")),
	Entry("a short remainder is ignored", 5, "a", append(part("a"), "zzzz"...)),
	Entry("bytes above 127 are greater", 2, "\xffa", part("a\xff")),
	Entry("nothing", 5, ""),
)
