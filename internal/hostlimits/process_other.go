//go:build !unix

package hostlimits

// processLimits returns no limits.
func processLimits() Limits { return Limits{} }
