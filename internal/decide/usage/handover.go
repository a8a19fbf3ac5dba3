package usage

import "time"

// releaseAfter is the number of writes in a row that the store refuses before the holder
// hands its lease over. One refusal may be a short overload.
const releaseAfter = 2

// grantTime is how long a lease that was handed over may be taken: longer than most times
// without the store.
const grantTime = 30 * time.Second

// resume drops a lease that has run out while this VM was paused. Another VM may have held
// it since, although the store has lost that write.
func (r *Reporter) resume(now Now) {
	paused := now.Boot-r.steppedAt > time.Duration(renewShare*float64(r.cfg.Term))
	r.steppedAt = now.Boot
	if paused && r.lease.held && !r.lease.uncertain && r.writing == nil && now.Boot > r.lease.validUntil {
		r.lease.Forget()
		r.lostLease(true)
	}
}

// yield gives the lease up if the service does not answer this VM.
func (r *Reporter) yield(now Now) {
	if r.lease.held && !r.lease.uncertain && r.writing == nil && !r.calling && len(r.pending) > 0 && len(r.vms) > 1 && now.Boot-max(r.answeredAt, r.heldSince) > yieldAfter {
		r.event(Event{Kind: Yielded, Token: r.lease.Token()})
		r.lease.Forget()
		r.slotsRead = false
		r.yieldUntil = now.Boot + yieldTime
	}
}

// release hands the lease over if the store turns this VM away. The token is given up for
// good, and no call of this VM may still be under way, so that the successor need not wait
// for the term. Only one VM is told, so that no two take the lease by it.
func (r *Reporter) release(now Now) {
	l := r.lease
	switch {
	case !l.held || l.uncertain || r.writing != nil || r.calling || r.refused < releaseAfter:
		return
	case l.called && now.Boot < l.lastCall+r.cfg.CallTimeout+clockMargin:
		return
	}
	for _, vm := range r.vms {
		if vm != r.cfg.Self.VM {
			r.event(Event{Kind: Released, Token: l.Token()})
			r.successor, r.released = vm, l.Token()
			l.Fenced()
			r.lostLease(false)
			r.refused, r.storeRetry = 0, retry{}
			r.yieldUntil = now.Boot + 2*r.cfg.Term
			return
		}
	}
}

// HandsOver reports whether this VM has given up its lease to vm, and nobody is known to
// have taken it since.
func (r *Reporter) HandsOver(vm string) bool {
	return r.released != 0 && r.successor == vm && r.lease.known == r.released
}

// Successor returns the VM that this VM's lease was given up to; "": none.
func (r *Reporter) Successor() string {
	if r.HandsOver(r.successor) {
		return r.successor
	}
	return ""
}

// HearHandover records that the holder of a token has given it up to this VM.
func (r *Reporter) HearHandover(now Now, token uint64) {
	if token > r.granted && token >= r.lease.known {
		r.lease.Learn(token)
		r.granted, r.grantedAt = token, now.Boot
		r.storeRetry = retry{}
	}
}

// inherits reports whether this VM may take the lease without waiting for the term of the
// former holder.
func (r *Reporter) inherits(now Now) bool {
	return r.granted != 0 && !r.lease.held && r.lease.known == r.granted && now.Boot < r.grantedAt+grantTime
}

// mayInherit reports whether the record as read is the one that was given up.
func (r *Reporter) mayInherit(now Now, era uint64) bool {
	l, wait := r.lease, r.cfg.Term+clockMargin
	return r.inherits(now) && l.record.Token == r.granted && l.record.Era == era && l.seen && !l.uncertain && l.writing == nil &&
		now.Boot >= l.started+wait && (!l.called || now.Boot >= l.lastCall+wait)
}

// Released returns the token that this VM has last handed over.
func (r *Reporter) Released() uint64 { return r.released }

// writeFailed sets the time of the next call to the store after a write that failed. The
// holder repeats a write that was refused soon, since windows may be due.
func (r *Reporter) writeFailed(now Now, o Outcome, held bool) {
	if o != Conflict {
		r.storeRetry.failed(now.Boot)
	}
	if o == NotApplied && held {
		if r.refused++; r.refused < releaseAfter {
			r.storeRetry.at = now.Boot + minRetry/2
		}
	}
}
