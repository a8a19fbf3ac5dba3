package verdict

import (
	"time"

	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// ToProto returns e as a protobuf message, or nil for nil.
func ToProto(e *Error) *swpb.Verdict {
	if e == nil {
		return nil
	}
	return &swpb.Verdict{
		Outcome:      swpb.Outcome(e.Outcome),
		Cause:        string(e.Cause),
		RetryAfterUs: uint64(max(e.RetryAfter, 0) / time.Microsecond),
		Detail:       e.Detail,
	}
}

// FromProto returns the verdict of a protobuf message, or nil for nil. An outcome
// that this version does not know becomes MayHaveRun.
func FromProto(v *swpb.Verdict) *Error {
	if v == nil {
		return nil
	}
	o := Outcome(v.GetOutcome())
	if o < NotRun || o > RanFailed {
		o = MayHaveRun
	}
	return &Error{
		Outcome:    o,
		Cause:      Cause(v.GetCause()),
		RetryAfter: time.Duration(v.GetRetryAfterUs()) * time.Microsecond,
		Detail:     v.GetDetail(),
	}
}
