// Package apikey decides which team a request runs for: the index from the digests of API
// keys to teams, and how long the knowledge of the keys may be used.
//
// It addresses two loads: configurations with 10,000 teams, where a lookup must not take
// longer than with one; and a VM that is cut off from the store, paused or suspended while
// a key is revoked, which must stop accepting keys before it could accept a revoked one.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// Digest is the SHA-256 of an API key. Keys are chosen by machines and too long to be
// guessed, so no salt is needed.
type Digest = [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Fault is why a request has no usable key.
type Fault uint8

// The faults.
const (
	Missing   Fault = iota // no header field with a key
	OK                     // there is a key
	Malformed              // a header field that holds no key
	Repeated               // more than one such header field
)

// String returns the description of f in verdicts and logs.
func (f Fault) String() string {
	return [...]string{"the API key is missing", "the API key is well-formed", "the API key is malformed", "the API key is repeated"}[f]
}

// Credential is what a request says of its caller. The zero value says nothing.
type Credential struct {
	Fault  Fault
	Digest Digest // if Fault is OK
}

// Index finds the team of a key in constant time. It is immutable and safe for concurrent
// use.
type Index struct {
	keys      map[uint64][]indexed // by the first bytes of the digest
	ambiguous int
}

type indexed struct {
	digest Digest
	team   *tables.Team // nil: several teams have the key
}

// NewIndex returns the index of the keys of teams. A key that several teams have is valid
// for none of them, since a request must never run for another team.
func NewIndex(teams map[string]*tables.Team) *Index {
	x := &Index{keys: make(map[uint64][]indexed, len(teams))}
	for _, t := range teams {
		for _, digest := range t.Keys {
			x.add(digest, t)
		}
	}
	return x
}

func (x *Index) add(digest Digest, t *tables.Team) {
	id := prefixOf(digest)
	for i, e := range x.keys[id] {
		if e.digest != digest {
			continue
		}
		if e.team != nil && e.team != t {
			x.keys[id][i].team = nil
			x.ambiguous++
		}
		return
	}
	x.keys[id] = append(x.keys[id], indexed{digest, t})
}

// Find returns the team of a key, or nil. Only the digest of what a caller sent decides how
// long it takes, which says nothing of the keys that exist.
func (x *Index) Find(digest Digest) *tables.Team {
	for _, e := range x.keys[prefixOf(digest)] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			return e.team
		}
	}
	return nil
}

// Ambiguous returns the number of keys that several teams have.
func (x *Index) Ambiguous() int { return x.ambiguous }

func prefixOf(digest Digest) uint64 { return binary.LittleEndian.Uint64(digest[:]) }
