package storerelay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/storepack"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The limits on what goes to other VMs in packs.
const (
	// pieceBytes takes 3 ms of a link of 20 Mbit/s, and 33 ms of one of 2 Mbit/s.
	pieceBytes = 8 << 10
	// maxPieces is the most pieces that are on their way at a time.
	maxPieces = 4
	// pieceTimeout is how long a piece counts as on its way if its arrival isn't heard of.
	pieceTimeout = 200 * time.Millisecond
	// smallPiece is the size of a piece that isn't counted.
	smallPiece = 1 << 10
	// packedBytes is the size of a reply's values from which they are packed.
	packedBytes = 2 << 10
)

// transfers bounds the pieces that are on their way to other VMs, so that answers and
// attempts of callers' requests don't wait behind them. It is safe for concurrent use.
type transfers struct {
	slots *semaphore.Weighted

	mu      sync.Mutex        // guards onWay
	onWay   map[string]*piece // by VM
	timeout time.Duration
}

// newTransfers returns the transfers over a link on which so many bytes may be on their
// way; 0: not known.
func newTransfers(window int) *transfers {
	pieces := maxPieces
	if window > 0 {
		pieces = min(max(window/pieceBytes, 1), maxPieces)
	}
	return &transfers{slots: semaphore.NewWeighted(int64(pieces)), onWay: map[string]*piece{}, timeout: pieceTimeout}
}

// piece is a piece on its way.
type piece struct{ timer *time.Timer }

// begin waits until a piece may be sent to a VM. Its former piece has arrived.
func (t *transfers) begin(ctx context.Context, vm string) error {
	t.arrived(vm)
	if err := t.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.onWay[vm] != nil { // two packs at once
		t.slots.Release(1)
		return nil
	}
	p := &piece{}
	p.timer = time.AfterFunc(t.timeout, func() { t.end(vm, p) })
	t.onWay[vm] = p
	return nil
}

// arrived records that the last piece sent to a VM has arrived.
func (t *transfers) arrived(vm string) {
	t.mu.Lock()
	p := t.onWay[vm]
	t.mu.Unlock()
	if p != nil {
		t.end(vm, p)
	}
}

// end frees the slot of a piece, unless that was done.
func (t *transfers) end(vm string, p *piece) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.onWay[vm] == p {
		p.timer.Stop()
		delete(t.onWay, vm)
		t.slots.Release(1)
	}
}

// packReply replaces the entries of a reply by a pack, if they are large and the asking VM
// can read it.
func (s *Service) packReply(ctx context.Context, vm string, m *Mirror, req *swpb.StoreRequest, reply *swpb.StoreReply) {
	entries := toChanges(reply).Entries
	if !req.GetPacked() || valueBytes(entries) < packedBytes {
		return
	}
	pack, err := s.packs.Get(packKey(req, reply), func() ([]byte, error) { return storepack.Encode(entries, req.GetBases(), m.Value) })
	if err != nil {
		s.log.Error().Err(err).Str("prefix", req.GetPrefix()).Msg("entries can't be packed; they are sent as they are")
		return
	}
	first := pack.Piece(0, pieceBytes)
	reply.Entries = nil
	if !s.admitPiece(ctx, vm, first) {
		reply.Status = swpb.StoreStatus_STORE_STATUS_NO_RELAY // the asking VM has given up
		return
	}
	reply.Pack = &swpb.StorePack{Id: pack.ID, Size: uint32(len(pack.Data)), Piece: first}
}

// admitPiece waits until a piece may go to a VM. It returns false if ctx ends before.
func (s *Service) admitPiece(ctx context.Context, vm string, piece []byte) bool {
	if len(piece) <= smallPiece {
		s.transfers.arrived(vm)
		return true
	}
	return s.transfers.begin(ctx, vm) == nil
}

// packKey identifies what a pack holds, and for which bases.
func packKey(req *swpb.StoreRequest, reply *swpb.StoreReply) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v %d %d", req.GetPrefix(), req.GetSnapshot(), reply.GetRevision(), reply.GetStatus())
	if !req.GetSnapshot() {
		fmt.Fprintf(&b, " %d", req.GetAfter())
	}
	for _, base := range req.GetBases() {
		fmt.Fprintf(&b, " %s@%d", base.GetKey(), base.GetRevision())
	}
	return b.String()
}

// pieceOf answers the request for a piece.
func (s *Service) pieceOf(ctx context.Context, vm string, req *swpb.StorePieceRequest) *swpb.StorePiece {
	pack := s.packs.Find(req.GetPack())
	if pack == nil {
		return &swpb.StorePiece{}
	}
	piece := pack.Piece(int(req.GetOffset()), pieceBytes)
	if !s.admitPiece(ctx, vm, piece) {
		return &swpb.StorePiece{}
	}
	return &swpb.StorePiece{Piece: piece}
}

// unpack returns the changes of a reply, for which it reads the other pieces of a pack.
func (s *Service) unpack(ctx context.Context, addr, prefix string, reply *swpb.StoreReply) (platform.Changes, error) {
	c := toChanges(reply)
	pack := reply.GetPack()
	if pack == nil {
		return c, nil
	}
	data, err := s.readPieces(ctx, addr, pack)
	if err != nil {
		return c, err
	}
	s.mu.Lock()
	m := s.mirrors[prefix]
	s.mu.Unlock()
	if m == nil {
		return c, fmt.Errorf("%w: prefix %q isn't watched here", storepack.ErrInvalid, prefix)
	}
	c.Entries, err = storepack.Decode(data, m.Value)
	return c, err
}

// readPieces reads the pieces of a pack after the first one.
func (s *Service) readPieces(ctx context.Context, addr string, pack *swpb.StorePack) ([]byte, error) {
	data := pack.GetPiece()
	for size := int(pack.GetSize()); len(data) < size; {
		piece, err := s.readPiece(ctx, addr, pack.GetId(), len(data))
		if err != nil {
			return nil, err
		}
		if len(piece) == 0 || len(data)+len(piece) > size {
			return nil, fmt.Errorf("%w: it ends after %d of %d bytes", storepack.ErrInvalid, len(data), size)
		}
		data = append(data, piece...)
	}
	if len(data) > smallPiece {
		go s.reportArrival(addr, pack.GetId(), len(data))
	}
	return data, nil
}

// readPiece reads the piece of a pack at an offset.
func (s *Service) readPiece(ctx context.Context, addr string, pack uint64, offset int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()
	env := &swpb.Envelope{Body: &swpb.Envelope_StorePieceRequest{StorePieceRequest: &swpb.StorePieceRequest{Pack: pack, Offset: uint32(offset)}}}
	reply, err := s.bulk.Get(addr).Call(ctx, env)
	return reply.GetStorePiece().GetPiece(), err
}

// reportArrival tells a VM that the last piece of its pack has arrived.
func (s *Service) reportArrival(addr string, pack uint64, size int) {
	if _, err := s.readPiece(context.Background(), addr, pack, size); err != nil {
		s.log.Debug().Err(err).Str("relay", addr).Msg("VM did not hear that its pack has arrived")
	}
}

func valueBytes(entries []platform.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	return size
}
