package delta_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/delta"
)

func TestDelta(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "delta")
}

var _ = Describe("Make and Apply", func() {
	It("reproduce the new text for any pair of texts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := rapid.Map(rapid.SliceOf(rapid.SampledFrom([]string{"a\n", "b\n", "c", "\n", "long line\n"})), func(l []string) []byte {
				var b []byte
				for _, s := range l {
					b = append(b, s...)
				}
				return b
			})
			from, to := text.Draw(t, "old"), text.Draw(t, "new")
			got, err := delta.Apply(from, delta.Make(from, to, delta.Lines), delta.Lines)
			if err != nil || !bytes.Equal(got, to) {
				t.Fatalf("Apply returned %q, %v", got, err)
			}
		})
	})

	It("encode a small edit of a large text in less than 200 bytes", func() {
		var from []byte
		for i := range 12_000 {
			from = fmt.Appendf(from, "upstream.u%d = 10.0.0.1:%d zone=a shard=0 version=v1\n", i, i)
		}
		to := bytes.Replace(from, []byte("u77 = 10"), []byte("u77 = 11"), 1)
		to = bytes.Replace(to, []byte("u9000 = 10"), []byte("u9000 = 11"), 1)
		Expect(len(delta.Make(from, to, delta.Lines))).To(BeNumerically("<", 200))
	})
})

func FuzzApply(f *testing.F) {
	f.Add([]byte("a\nb\n"), delta.Make([]byte("a\nb\n"), []byte("b\nc\n"), delta.Lines))
	f.Add([]byte("a\n"), []byte{0, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0})
	f.Fuzz(func(_ *testing.T, old, d []byte) {
		_, _ = delta.Apply(old, d, delta.Lines)
	})
}

func BenchmarkMake(b *testing.B) {
	for _, n := range []int{100, 1200, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var from []byte
			for i := range n {
				from = fmt.Appendf(from, "upstream.u%d = 10.0.0.1:%d zone=a shard=0 version=v1\n", i, i)
			}
			to := append([]byte("; new\n"), from...)
			for range b.N {
				delta.Make(from, to, delta.Lines)
			}
		})
	}
}
