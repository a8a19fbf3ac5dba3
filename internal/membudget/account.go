package membudget

import (
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/bytebudget"
)

// forceStep is how much of small answers may not be drawn yet, for each request.
const forceStep = 4 << 10

// Account is what one request has drawn. All of it is returned when the last user has
// released it. A nil Account has no limit. It is safe for concurrent use.
type Account struct {
	budget  *Budget
	client  string
	users   atomic.Int32
	pending atomic.Int64 // of Force, not drawn yet

	// Guarded by budget.mu:
	held, large int64 // large is the part of held that counts for the client
	closed      bool
	transfer    bytebudget.Transfer
	giveUp      func()
}

// Take draws n more bytes of what is large. It reports whether they are within the
// budget, if need be after slower transfers have been given up.
func (a *Account) Take(n int) bool {
	if a == nil {
		return true
	}
	b, size := a.budget, int64(n)
	b.mu.Lock()
	fits := func() bool {
		return b.limits.Fits(b.used, size) && b.limits.Fair(b.used, b.clients[a.client], size)
	}
	var evicted []func()
	if !a.closed {
		evicted = b.room(time.Now(), a, fits)
	}
	ok := !a.closed && fits()
	if ok {
		a.draw(size)
	} else {
		b.metrics.Add("refused_large", 1)
	}
	b.mu.Unlock()
	for _, giveUp := range evicted {
		giveUp()
	}
	return ok
}

// TakeSpare draws up to n bytes that are useful, but not needed, and returns how many. No
// other transfer is given up for them. Without a limit, all are granted.
func (a *Account) TakeSpare(n int) int {
	if a == nil {
		return n
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	size := b.limits.Spare(b.used, int64(n))
	if a.closed || size == 0 || !b.limits.Fair(b.used, b.clients[a.client], size) {
		return 0
	}
	a.draw(size)
	return int(size)
}

// draw draws n bytes of what is large. budget.mu is held.
func (a *Account) draw(n int64) {
	a.budget.used += n
	a.held += n
	a.large += n
	a.budget.clients[a.client] += n
	a.register()
}

// Force draws n more bytes that are needed in any case: of answers that are small. Up to
// forceStep are drawn later, so that the many parts of a query cost little.
func (a *Account) Force(n int) {
	if a == nil {
		return
	}
	if a.pending.Add(int64(n)) < forceStep {
		return
	}
	size := a.pending.Swap(0)
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.budget.used += size
		a.held += size
	}
}

// Return returns n bytes that Take has drawn.
func (a *Account) Return(n int) {
	if a == nil || n == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.budget.used -= int64(n)
		a.held -= int64(n)
		a.returnLarge(int64(n))
	}
}

// returnLarge reduces what counts for the client. budget.mu is held.
func (a *Account) returnLarge(n int64) {
	if n = min(n, a.large); n == 0 {
		return
	}
	a.large -= n
	if left := a.budget.clients[a.client] - n; left > 0 {
		a.budget.clients[a.client] = left
	} else {
		delete(a.budget.clients, a.client)
	}
}

// Begin records that a transfer from or to the client begins, which giveUp ends if its
// bytes are needed for others. giveUp must not block.
func (a *Account) Begin(giveUp func()) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.transfer, a.giveUp = bytebudget.Transfer{Since: time.Now()}, giveUp
		a.register()
	}
}

// register makes a transfer one that may be given up, if that would return more than the
// little that each request has. budget.mu is held.
func (a *Account) register() {
	if a.giveUp != nil && a.held > requestBytes {
		a.budget.moving[a] = struct{}{}
	}
}

// Moved records that n more bytes of the transfer have been moved.
func (a *Account) Moved(n int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	a.transfer.Moved += int64(n)
	a.budget.mu.Unlock()
}

// End records that the transfer is complete. It reports whether it was not given up.
func (a *Account) End() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.giveUp = nil
	delete(a.budget.moving, a)
	return !a.closed
}

// Retain adds a user.
func (a *Account) Retain() {
	if a == nil {
		return
	}
	a.users.Add(1)
}

// Release ends the use by one user. The last one closes the account.
func (a *Account) Release() {
	if a == nil || a.users.Add(-1) != 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.close()
}

// close returns everything. budget.mu is held.
func (a *Account) close() {
	if a.closed {
		return
	}
	a.closed = true
	delete(a.budget.moving, a)
	a.returnLarge(a.large)
	a.budget.used -= a.held
	a.held = 0
}
