// Package rolloutstore keeps the outcomes of rollouts in the platform's
// key-value service, in one key per rollout that is changed by compare-and-swap.
// A record only moves forward, from in progress to done to rolled back, and each
// step is recorded once.
package rolloutstore
