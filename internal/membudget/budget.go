package membudget

import (
	"expvar"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/bytebudget"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

const (
	// requestBytes is what each request is charged from its beginning: the stack of its
	// goroutine, its response and the first bytes of its head.
	requestBytes = 8 << 10
	// maxEvictions bounds the transfers that are given up for one that needs bytes.
	maxEvictions = 16
	// DefaultMemory is the memory in bytes that is assumed if it isn't known. No
	// client that an ordinary VM can serve at a time needs a quarter of it.
	DefaultMemory = 4 << 30
	// budgetShare is the part of the memory that requests may use. The rest is for the
	// program (some 20 MB), connections to replicas and VMs, and what the garbage
	// collector has yet to free.
	budgetShare = 0.28
	// runtimeShare is the part of the memory above which the garbage collector runs
	// more often than when the heap has doubled. The program's text is outside of it.
	runtimeShare = 0.55
)

// RuntimeLimit returns the limit for the Go runtime of a VM with so much memory.
func RuntimeLimit(memory int64) int64 { return int64(runtimeShare * float64(memory)) }

// Budget is the bytes that all requests of a process may use together. A nil Budget has
// no limit. It is safe for concurrent use.
type Budget struct {
	limits  bytebudget.Limits
	metrics *expvar.Map

	mu      sync.Mutex
	used    int64
	clients map[string]int64      // large bytes by client
	moving  map[*Account]struct{} // transfers that may be given up
}

// New returns the budget of a process on a VM with so much memory, in bytes; 0: not known.
func New(memory int64) *Budget {
	if memory <= 0 {
		memory = DefaultMemory
	}
	b := &Budget{
		limits: bytebudget.LimitsFor(int64(budgetShare * float64(memory))), metrics: telemetry.Map("budget"),
		clients: map[string]int64{}, moving: map[*Account]struct{}{},
	}
	b.metrics.Set("used_bytes", expvar.Func(func() any { return b.Used() }))
	return b
}

// ForProcess returns the budget of a process that may use so much memory, in bytes; 0: not
// known. If it is known, the garbage collector runs early enough to stay within it.
func ForProcess(memory int64) *Budget {
	if memory > 0 {
		debug.SetMemoryLimit(RuntimeLimit(memory))
	}
	return New(memory)
}

// Used returns the bytes that are drawn.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Draw draws n bytes of a fixed cost, such as that of a connection. It reports whether
// they are within the budget.
func (b *Budget) Draw(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limits.Small(b.used, n) {
		return false
	}
	b.used += n
	return true
}

// Return returns what Draw has drawn.
func (b *Budget) Return(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.used -= n
	b.mu.Unlock()
}

// Open opens the account of a request of a client, which the caller has to release. ok
// is false if there is no room even for a small request.
func (b *Budget) Open(client string) (a *Account, ok bool) {
	if b == nil {
		return nil, true
	}
	fits := func() bool { return b.limits.Small(b.used, requestBytes) }
	b.mu.Lock()
	evicted := b.room(time.Now(), nil, fits)
	if ok = fits(); ok {
		b.used += requestBytes
	}
	b.mu.Unlock()
	for _, giveUp := range evicted {
		giveUp()
	}
	if !ok {
		b.metrics.Add("refused_small", 1)
		return nil, false
	}
	a = &Account{budget: b, client: client, held: requestBytes}
	a.users.Store(1)
	return a, true
}

// room gives up transfers, other than that of an account, until something fits or none is
// slow. It returns their callbacks. b.mu is held.
func (b *Budget) room(now time.Time, a *Account, fits func() bool) (evicted []func()) {
	for range maxEvictions {
		if fits() {
			break
		}
		accounts := make([]*Account, 0, len(b.moving))
		transfers := make([]bytebudget.Transfer, 0, len(b.moving))
		for other := range b.moving {
			if other != a {
				accounts, transfers = append(accounts, other), append(transfers, other.transfer)
			}
		}
		i := bytebudget.Slowest(now, transfers)
		if i < 0 {
			break
		}
		evicted = append(evicted, accounts[i].giveUp)
		b.metrics.Add("evicted", 1)
		accounts[i].close()
	}
	return evicted
}
