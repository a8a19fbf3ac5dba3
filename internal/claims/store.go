package claims

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirewall/sapphirewall/internal/decide/claim"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// store makes the platform calls of one range. Pieces are stored under
// <prefix>claims/<range>/<chain>/<number>.
type store struct {
	kv     platform.KV
	prefix string // ends with the range
}

func newStore(kv platform.KV, prefix string, keyRange uint32) *store {
	return &store{kv: kv, prefix: fmt.Sprintf("%sclaims/%d/", prefix, keyRange)}
}

// do makes the call of an action.
func (s *store) do(ctx context.Context, a claim.Action) claim.Result {
	switch a.Call {
	case claim.Grant:
		id, err := s.kv.Grant(ctx, claim.LeaseTTL)
		return claim.Result{Status: statusOf(err), Lease: uint64(id)}
	case claim.Create:
		_, err := s.kv.CompareAndSwap(ctx, s.key(a), 0, encode(&a.Piece), platform.LeaseID(a.Lease))
		return claim.Result{Status: statusOf(err)}
	case claim.List:
		entries, err := s.kv.List(ctx, s.prefix)
		return s.found(entries, err)
	default:
		e, err := s.kv.Get(ctx, s.key(a))
		if err != nil {
			return claim.Result{Status: statusOf(err)}
		}
		return s.found([]platform.Entry{e}, nil)
	}
}

func (s *store) key(a claim.Action) string {
	return fmt.Sprintf("%s%s/%d", s.prefix, a.Chain, a.Number)
}

// found decodes stored pieces. A piece that can't be decoded makes the call fail,
// because a claim in it could be missed.
func (s *store) found(entries []platform.Entry, err error) claim.Result {
	if err != nil {
		return claim.Result{Status: statusOf(err)}
	}
	res := claim.Result{Found: make([]claim.StoredPiece, 0, len(entries))}
	for i := range entries {
		e := &entries[i]
		chain, number, ok := strings.Cut(strings.TrimPrefix(e.Key, s.prefix), "/")
		n, errNumber := strconv.Atoi(number)
		piece, errPiece := decode(e.Value)
		if !ok || errNumber != nil || errPiece != nil {
			return claim.Result{Status: claim.Unavailable}
		}
		res.Found = append(res.Found, claim.StoredPiece{Chain: chain, Number: n, Lease: uint64(e.Lease), Revision: e.Revision, Piece: piece})
	}
	return res
}

// statusOf maps an error of the platform to a status, Unknown if the error leaves
// open whether the call took effect.
func statusOf(err error) claim.CallStatus {
	switch {
	case err == nil:
		return claim.OK
	case errors.Is(err, platform.ErrConflict):
		return claim.Conflict
	case errors.Is(err, platform.ErrNotFound):
		return claim.NotFound
	case errors.Is(err, platform.ErrLeaseNotFound):
		return claim.LeaseExpired
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrBudget), errors.Is(err, platform.ErrTooLarge):
		return claim.Unavailable
	default:
		return claim.Unknown
	}
}

func encode(p *claim.Piece) []byte {
	m := &swpb.ClaimPiece{Writer: p.Writer, Seal: p.Seal}
	for i := range p.Records {
		r := &p.Records[i]
		m.Records = append(m.Records, &swpb.ClaimRecord{
			Key: r.Key, RequestId: r.Request, Fingerprint: r.Fingerprint, Status: uint32(r.Status),
			Snapshot: r.Snapshot, Reply: r.Reply, ReplyLost: r.ReplyLost,
		})
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}

func decode(b []byte) (claim.Piece, error) {
	var m swpb.ClaimPiece
	if err := proto.Unmarshal(b, &m); err != nil {
		return claim.Piece{}, err
	}
	p := claim.Piece{Writer: m.GetWriter(), Seal: m.GetSeal()}
	for _, r := range m.GetRecords() {
		p.Records = append(p.Records, claim.Record{
			Key: r.GetKey(), Request: r.GetRequestId(), Fingerprint: r.GetFingerprint(), Status: claim.Status(r.GetStatus()),
			Snapshot: r.GetSnapshot(), Reply: r.GetReply(), ReplyLost: r.GetReplyLost(),
		})
	}
	return p, nil
}
