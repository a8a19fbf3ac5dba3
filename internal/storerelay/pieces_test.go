package storerelay

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// tryBegin reports whether a piece may be sent to a VM within a time.
func tryBegin(t *transfers, vm string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return t.begin(ctx, vm) == nil
}

// TestPiecesOnTheirWayAreBounded guards against large replies to many VMs that fill the
// link together.
func TestPiecesOnTheirWayAreBounded(t *testing.T) {
	g := NewWithT(t)
	tr := newTransfers(0)
	tr.timeout = time.Minute
	for _, vm := range []string{"a", "b", "c", "d"} {
		g.Expect(tryBegin(tr, vm, time.Second)).To(BeTrue())
	}
	g.Expect(tryBegin(tr, "e", 20*time.Millisecond)).To(BeFalse())
	g.Expect(tryBegin(tr, "a", time.Second)).To(BeTrue(), "its former piece has arrived")
	tr.arrived("b")
	g.Expect(tryBegin(tr, "e", time.Second)).To(BeTrue())
	g.Expect(tryBegin(tr, "f", 20*time.Millisecond)).To(BeFalse())
}

// TestPieceOfAVMThatIsGone guards against VMs that take up the slots of others.
func TestPieceOfAVMThatIsGone(t *testing.T) {
	g := NewWithT(t)
	tr := newTransfers(0)
	tr.timeout = 10 * time.Millisecond
	for _, vm := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		g.Expect(tryBegin(tr, vm, time.Second)).To(BeTrue())
	}
}
