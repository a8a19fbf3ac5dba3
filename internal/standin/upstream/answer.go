package upstream

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part is the body of an answer. It depends only on the pool, the snapshot, the
// key range, the payload and the request ID, so that a checker can recompute it.
type Part struct {
	Request     string `json:"request"`
	Pool        string `json:"pool"`
	Snapshot    uint64 `json:"snapshot"`
	Lo          uint32 `json:"lo"`
	Hi          uint32 `json:"hi"`
	Sum         uint64 `json:"sum"`
	PayloadHash string `json:"payload_hash"`
}

// maxCoefficient limits the coefficients of Sum so that the sum of a whole answer
// is exact in a float64.
const maxCoefficient = 1000

// NewPart returns the part that a replica must return.
func NewPart(request, pool string, snapshot uint64, lo, hi uint32, payload []byte) Part {
	return Part{
		Request: request, Pool: pool, Snapshot: snapshot, Lo: lo, Hi: hi,
		Sum: Sum(pool, snapshot, lo, hi, payload), PayloadHash: PayloadHash(payload),
	}
}

// JSON returns the part encoded as JSON.
func (p Part) JSON() []byte {
	b, _ := json.Marshal(p) // encoding strings and integers cannot fail
	return b
}

// PayloadHash returns the hash by which parts and records identify a payload.
func PayloadHash(payload []byte) string {
	return strconv.FormatUint(xxhash.Sum64(payload), 16)
}

// Sum returns the sum of the values of the keys in [lo, hi). It is additive: the
// sums of two adjacent ranges add up to the sum of their union, so the sum of an
// answer can be computed from its missing ranges.
func Sum(pool string, snapshot uint64, lo, hi uint32, payload []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString(strconv.FormatUint(snapshot, 16))
	_, _ = d.Write(payload)
	h := d.Sum64()
	slope := h%maxCoefficient + 1
	base := h/maxCoefficient%maxCoefficient + 1
	n := uint64(hi - lo)
	keys := (uint64(lo) + uint64(hi) - 1) * n / 2
	return slope*keys + base*n
}
