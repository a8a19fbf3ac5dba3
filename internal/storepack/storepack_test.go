package storepack_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storepack"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestStorepack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storepack")
}

func value(objects int, last string) []byte {
	var b strings.Builder
	for i := range objects {
		fmt.Fprintf(&b, `{"name":"r-%d"},`, i)
	}
	return []byte(b.String() + last)
}

// known returns the values that a VM has.
func known(entries ...platform.Entry) storepack.Values {
	return func(key string, revision uint64) ([]byte, bool) {
		for _, e := range entries {
			if e.Key == key && e.Revision == revision {
				return e.Value, true
			}
		}
		return nil, false
	}
}

var (
	old     = platform.Entry{Key: "k", Value: value(5000, "old"), Revision: 3}
	current = platform.Entry{Key: "k", Value: value(5000, "new"), Revision: 9}
	bases   = []*swpb.StoreBase{{Key: "k", Revision: 3}}
)

var _ = Describe("a pack", func() {
	It("of a value that differs a little has about the difference", func() {
		pack, err := storepack.Encode([]platform.Entry{current}, bases, known(old))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(pack)).To(BeNumerically("<", 200))
		Expect(storepack.Decode(pack, known(old))).To(Equal([]platform.Entry{current}))
	})

	It("is whole without a common value", func() {
		for _, has := range []storepack.Values{known(), known(platform.Entry{Key: "k", Value: value(9, ""), Revision: 2})} {
			pack, err := storepack.Encode([]platform.Entry{current, {Key: "d", Revision: 10, Deleted: true}}, bases, has)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(pack)).To(BeNumerically("<", len(current.Value)/3))
			got, err := storepack.Decode(pack, known())
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(HaveLen(2))
			Expect(got[0]).To(Equal(current))
			Expect(got[1].Deleted).To(BeTrue())
		}
	})

	It("that is broken off, or doesn't fit, is invalid", func() {
		pack, err := storepack.Encode([]platform.Entry{current}, bases, known(old))
		Expect(err).NotTo(HaveOccurred())
		other := old
		other.Value = value(4999, "old}")
		for _, try := range []struct {
			pack []byte
			has  storepack.Values
		}{
			{pack[:len(pack)/2], known(old)},
			{[]byte("no pack"), known(old)},
			{pack, known()},
			{pack, known(other)},
		} {
			_, err := storepack.Decode(try.pack, try.has)
			Expect(errors.Is(err, storepack.ErrInvalid)).To(BeTrue(), "%v", err)
		}
	})

	It("gives back any entries", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			before := platform.Entry{Key: "k", Value: value(1000, rapid.StringMatching(`[{}a-c"]{0,40}`).Draw(t, "before")), Revision: 1}
			cut := rapid.IntRange(0, len(before.Value)).Draw(t, "cut")
			after := before
			after.Revision, after.Value = 2, append(append([]byte{}, before.Value[cut:]...), rapid.StringMatching(`[{}a-c"]{0,40}`).Draw(t, "added")...)
			pack, err := storepack.Encode([]platform.Entry{after}, []*swpb.StoreBase{{Key: "k", Revision: 1}}, known(before))
			if err != nil {
				t.Fatal(err)
			}
			got, err := storepack.Decode(pack, known(before))
			if err != nil || string(got[0].Value) != string(after.Value) {
				t.Fatalf("%v", err)
			}
		})
	})
})

var _ = Describe("the cache", func() {
	It("encodes what several VMs ask for once, and drops old packs", func() {
		var c storepack.Cache
		encoded := 0
		encode := func() ([]byte, error) { encoded++; return []byte("0123456789"), nil }
		first, err := c.Get("a", encode)
		Expect(err).NotTo(HaveOccurred())
		again, err := c.Get("a", encode)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.ID).To(Equal(first.ID))
		Expect(encoded).To(Equal(1))
		Expect(c.Find(first.ID).Piece(8, 4)).To(Equal([]byte("89")))
		Expect(first.Piece(10, 4)).To(BeEmpty())
		Expect(first.Piece(-1, 4)).To(BeEmpty())
		for i := range 40 {
			_, err := c.Get(fmt.Sprint(i), encode)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.Find(first.ID)).To(BeNil())
	})
})

func FuzzDecode(f *testing.F) {
	pack, err := storepack.Encode([]platform.Entry{current}, bases, known(old))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(pack)
	f.Fuzz(func(_ *testing.T, pack []byte) { _, _ = storepack.Decode(pack, known(old)) })
}
