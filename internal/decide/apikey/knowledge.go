package apikey

import "time"

const (
	// driftShare is how much of a bound is given up, since the clocks of VMs and of the
	// store don't run at exactly the same rate.
	driftShare = 100
	// checkShare is the part of a bound between two confirmations by the store, and
	// relayWaitShare the part for which a poll of another VM may wait. A confirmation counts
	// from the moment of the call or poll: it is 1/2 of the bound old at a VM that reads the
	// store before the next one comes, and 1/5 more at a VM that polls that one. The rest is
	// for network delays, the pause of a watch after a change (0.7 s), and a call that fails
	// and is repeated.
	checkShare     = 2
	relayWaitShare = 5
	// relayableShare is the part of a bound, in tenths, up to which the age of a
	// confirmation is worth passing on. It is above the age that waits, and the pause after
	// a change, cause at a VM that reads the store.
	relayableShare = 7
)

// Bound is the time within which a revoked key is no longer accepted; 0: no such bound.
// Instants are times of a clock that counts suspensions and never steps.
type Bound time.Duration

// UsableUntil returns until when knowledge that was confirmed as of an instant may be used
// to accept keys.
func (b Bound) UsableUntil(asOf time.Duration) time.Duration {
	return asOf + time.Duration(b) - time.Duration(b)/driftShare
}

// CheckIn returns after which time a VM that reads the store should call it to confirm
// knowledge of an age.
func (b Bound) CheckIn(age time.Duration) time.Duration {
	return max(0, time.Duration(b)/checkShare-age)
}

// RelayWait returns how long a poll of another VM may wait for a change.
func (b Bound) RelayWait() time.Duration { return time.Duration(b) / relayWaitShare }

// Relayable reports whether knowledge of an age should be passed on to other VMs. They
// turn to another source otherwise, while their own knowledge is still usable.
func (b Bound) Relayable(age time.Duration) bool {
	return age <= time.Duration(b)/10*relayableShare
}

// Knowledge is how current a VM's knowledge of the keys is. The zero value is that of a VM
// that knows nothing.
type Knowledge struct {
	asOf      time.Duration
	confirmed bool
}

// Confirm records that the knowledge is complete as of an instant. Confirmations may come
// in any order.
func (k *Knowledge) Confirm(asOf time.Duration) {
	if !k.confirmed || asOf > k.asOf {
		k.asOf, k.confirmed = asOf, true
	}
}

// UsableUntil returns until when the knowledge may be used to accept keys; ok is false if
// it may not be used at all.
func (k *Knowledge) UsableUntil(b Bound) (until time.Duration, ok bool) {
	return b.UsableUntil(k.asOf), k.confirmed
}
