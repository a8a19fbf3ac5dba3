package upstream

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part is the body of an answer. It is a function of the pool, the snapshot,
// the key range, the payload and the request id alone.
type Part struct {
	Request     string `json:"request"`
	Pool        string `json:"pool"`
	Snapshot    uint64 `json:"snapshot"`
	Lo          uint32 `json:"lo"`
	Hi          uint32 `json:"hi"`
	Sum         uint64 `json:"sum"`
	PayloadHash string `json:"payload_hash"`
}

// maxCoefficient keeps the sums of whole answers exact in a float64.
const maxCoefficient = 1000

// NewPart returns the part that a replica must give.
func NewPart(request, pool string, snapshot uint64, lo, hi uint32, payload []byte) Part {
	return Part{
		Request: request, Pool: pool, Snapshot: snapshot, Lo: lo, Hi: hi,
		Sum: Sum(pool, snapshot, lo, hi, payload), PayloadHash: PayloadHash(payload),
	}
}

// JSON returns the encoded part.
func (p Part) JSON() []byte {
	b, _ := json.Marshal(p) // strings and integers always encode
	return b
}

// PayloadHash returns the hash that parts and records carry for a payload.
func PayloadHash(payload []byte) string {
	return strconv.FormatUint(xxhash.Sum64(payload), 16)
}

// Sum adds the values of the keys [lo, hi). It is additive: the sums of two
// ranges side by side add up to the sum of both, so a sum over a whole answer
// follows from its missing ranges.
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
