package entry

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// checkPayload returns the verdict on a payload that can't be merged, or nil.
func checkPayload(m tables.Merge, payload []byte) *verdict.Error {
	switch m {
	case tables.MergeConcat:
		if !json.Valid(payload) {
			return verdict.New(verdict.RanFailed, verdict.BadAnswer, "part is no JSON")
		}
	case tables.MergeSum:
		if _, ok := parseNumber(payload); !ok {
			return verdict.New(verdict.RanFailed, verdict.BadAnswer, "part is no number")
		}
	}
	return nil
}

// number is an addend or a sum: an integer, or a float if isFloat is set. float
// holds the value in both cases.
type number struct {
	integer int64
	float   float64
	isFloat bool
}

// parseNumber reads a JSON number.
func parseNumber(b []byte) (number, bool) {
	var n json.Number
	if json.Unmarshal(b, &n) != nil {
		return number{}, false
	}
	if i, err := n.Int64(); err == nil {
		return number{integer: i, float: float64(i)}, true
	}
	f, err := n.Float64()
	return number{float: f, isFloat: true}, err == nil
}

// add returns n+o. A sum that overflows an integer becomes a float.
func (n number) add(o number) number {
	sum := number{integer: n.integer + o.integer, float: n.float + o.float, isFloat: n.isFloat || o.isFloat}
	overflow := (o.integer > 0 && n.integer > math.MaxInt64-o.integer) || (o.integer < 0 && n.integer < math.MinInt64-o.integer)
	sum.isFloat = sum.isFloat || overflow
	return sum
}

// appendTo appends n as a JSON number.
func (n number) appendTo(b []byte) []byte {
	if n.isFloat {
		return strconv.AppendFloat(b, n.float, 'g', -1, 64)
	}
	return strconv.AppendInt(b, n.integer, 10)
}

// sumOf returns the sum of payloads that checkPayload has accepted.
func sumOf(payloads [][]byte) number {
	var total number
	for _, p := range payloads {
		n, _ := parseNumber(p)
		total = total.add(n)
	}
	return total
}
