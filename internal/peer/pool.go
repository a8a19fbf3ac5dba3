package peer

import "sync"

// Pool holds one client per address. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu      sync.RWMutex // guards clients
	clients map[string]*Client
}

// NewPool returns an empty pool whose clients share o.
func NewPool(o Options) *Pool {
	return &Pool{opts: o, clients: map[string]*Client{}}
}

// Get returns the client of addr, which it creates on first use.
func (p *Pool) Get(addr string) *Client {
	p.mu.RLock()
	c := p.clients[addr]
	p.mu.RUnlock()
	if c != nil {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.clients[addr]; c == nil {
		c = NewClient(addr, p.opts)
		p.clients[addr] = c
	}
	return c
}

// Retain closes and removes the clients whose addresses are not in keep.
func (p *Pool) Retain(keep map[string]bool) {
	for _, c := range p.remove(keep) {
		c.Close() // may block on the network, so p.mu is not held
	}
}

// remove deletes the clients whose addresses are not in keep and returns them.
func (p *Pool) remove(keep map[string]bool) []*Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Client
	for addr, c := range p.clients {
		if !keep[addr] {
			out = append(out, c)
			delete(p.clients, addr)
		}
	}
	return out
}

// Close closes all clients.
func (p *Pool) Close() {
	p.Retain(nil)
}
