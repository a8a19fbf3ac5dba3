// Package model plays random schedules on the decisions that keep a bound for
// all VMs: VMs that start, vanish, pause, and lose sight of the store or of each
// other. Each invariant is shown red by a broken policy.
package model
