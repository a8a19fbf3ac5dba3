package storepack

import (
	"math/rand/v2"
	"sync"
)

const (
	// maxPacks and maxBytes bound the packs that are kept while other VMs read them.
	maxPacks = 16
	maxBytes = 4 << 20
)

// Pack is a pack that is kept for other VMs.
type Pack struct {
	ID   uint64
	Data []byte

	key  string
	once sync.Once
	err  error
}

// Piece returns the piece at an offset, or nothing beyond the end.
func (p *Pack) Piece(offset, size int) []byte {
	if offset < 0 || offset >= len(p.Data) {
		return nil
	}
	return p.Data[offset:min(offset+size, len(p.Data))]
}

// Cache keeps packs, so that VMs that ask for the same get what was encoded once. It is
// safe for concurrent use.
type Cache struct {
	mu    sync.Mutex // guards packs
	packs []*Pack    // the oldest one first
}

// Get returns the pack under a key. The first call of a key encodes it.
func (c *Cache) Get(key string, encode func() ([]byte, error)) (*Pack, error) {
	p := c.find(func(p *Pack) bool { return p.key == key }, &Pack{ID: rand.Uint64(), key: key})
	p.once.Do(func() {
		data, err := encode()
		c.mu.Lock()
		defer c.mu.Unlock()
		p.Data, p.err = data, err
		c.evict(p)
	})
	return p, p.err
}

// Find returns the pack with an ID, or nil if it is no longer kept.
func (c *Cache) Find(id uint64) *Pack {
	return c.find(func(p *Pack) bool { return p.ID == id }, nil)
}

// find returns the pack for which match is true. If there is none, it keeps and returns
// instead, unless that is nil.
func (c *Cache) find(match func(*Pack) bool, instead *Pack) *Pack {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.packs {
		if match(p) {
			return p
		}
	}
	if instead != nil {
		c.packs = append(c.packs, instead)
	}
	return instead
}

// evict drops the oldest packs beyond the limits, but not the newest one. c.mu is held.
func (c *Cache) evict(newest *Pack) {
	total := 0
	for _, p := range c.packs {
		total += len(p.Data)
	}
	for len(c.packs) > 1 && (len(c.packs) > maxPacks || total > maxBytes) && c.packs[0] != newest {
		total -= len(c.packs[0].Data)
		c.packs = c.packs[1:]
	}
}
