package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Outcome states whether a request may have been executed.
type Outcome uint8

// The outcomes, from the safest to retry to the least safe.
const (
	// Unspecified is the zero value. It never leaves a process.
	Unspecified Outcome = iota
	// NotRun means that the request was not executed and may be sent again.
	NotRun
	// MayHaveRun means that it is unknown whether the request was executed.
	MayHaveRun
	// RanFailed means that the request was executed and failed.
	RanFailed
)

// String returns the name of o in problem documents and logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case RanFailed:
		return "ran-failed"
	default:
		return "unspecified"
	}
}

// Cause is a short, stable, machine-readable reason for a failure.
type Cause string

// The causes of a failed request.
const (
	BadRequest       Cause = "bad-request"
	UnknownRoute     Cause = "unknown-route"
	Unauthorized     Cause = "unauthorized"
	KeysOutdated     Cause = "keys-outdated"
	NotReady         Cause = "not-ready"
	Deadline         Cause = "deadline"
	Overload         Cause = "overload"
	Shed             Cause = "shed"
	NoReplica        Cause = "no-replica"
	NotOwner         Cause = "not-owner"
	Draining         Cause = "draining"
	Cold             Cause = "cold"
	ZoneOut          Cause = "zone-out"
	SnapshotGone     Cause = "snapshot-gone"
	NothingCovered   Cause = "nothing-covered"
	LowCoverage      Cause = "low-coverage"
	ClaimUnavailable Cause = "claim-unavailable"
	DuplicateKey     Cause = "duplicate-key"
	KeyReused        Cause = "key-reused"
	Poison           Cause = "poison"
	ConnectFailed    Cause = "connect-failed"
	ConnectionLost   Cause = "connection-lost"
	ConnectionSilent Cause = "connection-silent"
	BadAnswer        Cause = "bad-answer"
	UpstreamError    Cause = "upstream-error"
	Cancelled        Cause = "cancelled"
	PlatformDown     Cause = "platform-down"
	TooLarge         Cause = "too-large"
	PeerLost         Cause = "peer-lost"
	ShuttingDown     Cause = "shutting-down"
	Internal         Cause = "internal"
)

// Error is the verdict on a failed request or on one part of it.
type Error struct {
	Outcome    Outcome
	Cause      Cause
	RetryAfter time.Duration // 0: no retry time known
	Detail     string
}

// New returns a verdict without a retry time.
func New(o Outcome, c Cause, detail string) *Error {
	return &Error{Outcome: o, Cause: c, Detail: detail}
}

// Newf returns a verdict with a formatted detail.
func Newf(o Outcome, c Cause, format string, args ...any) *Error {
	return New(o, c, fmt.Sprintf(format, args...))
}

// WithRetryAfter returns a copy of e that advises callers to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Cause, e.Detail)
}

// Of returns the verdict that err wraps, or nil for nil. Any other error becomes
// MayHaveRun, since it leaves open whether the request was executed.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var v *Error
	if errors.As(err, &v) {
		return v
	}
	return New(MayHaveRun, Internal, err.Error())
}

// Worse returns the verdict with the outcome that is less safe to retry, or a if
// they are equal: a request is NotRun only if all of its parts are.
func Worse(a, b *Error) *Error {
	if a == nil {
		return b
	}
	if b == nil || a.Outcome >= b.Outcome {
		return a
	}
	return b
}
