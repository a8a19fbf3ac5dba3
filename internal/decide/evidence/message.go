package evidence

import (
	"encoding/binary"
	"errors"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxMessage is the greatest size of a message. With two exchanges a second, of which a
// VM starts one half and answers the other, it sends 1 KB/s.
const MaxMessage = 512

// maxEntries bounds the replicas that a board keeps because of messages.
const maxEntries = 4096

// ErrMalformed is returned for a message that can't be read.
var ErrMalformed = errors.New("evidence: malformed message")

// A message is a sequence of replicas. Each is its key (4 bytes, little-endian), a bitmap
// of the slots with counts (1 byte), and for each of these slots, the lowest first, two
// bytes: age (5 bits), arrivals (4 bits) and rejections (4 bits).
const (
	replicaHeader = 5
	cellSize      = 2
)

// Message returns what this VM knows of replicas with recent rejections; nil: nothing.
// If it doesn't fit, the replicas are chosen at random, so that all get their turn.
func (b *Board) Message(now time.Time, rng *rand.Rand) []byte {
	keys := b.Active(now)
	slices.Sort(keys) // the random choice is reproducible
	rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	var msg []byte
	for _, key := range keys {
		if len(msg)+replicaHeader+slots*cellSize > MaxMessage {
			break
		}
		msg = b.appendReplica(msg, now, key)
	}
	return msg
}

func (b *Board) appendReplica(msg []byte, now time.Time, key Key) []byte {
	e := b.entries[key]
	msg = binary.LittleEndian.AppendUint32(msg, uint32(key))
	at := len(msg)
	msg = append(msg, 0)
	for i := range e.cells {
		c := e.cells[i]
		if mine := e.own.cell(); i == b.slot && mine.at.After(c.at) {
			c = mine
		}
		if !c.valid(now) {
			continue
		}
		msg[at] |= 1 << i
		// Ages are rounded up, so that counts expire although they are passed on.
		age := uint16((max(0, now.Sub(c.at)) + ageUnit - 1) / ageUnit)
		msg = binary.LittleEndian.AppendUint16(msg, age<<8|uint16(c.arrived)<<4|uint16(c.rejected))
	}
	return msg
}

// Merge merges the message of another VM.
func (b *Board) Merge(now time.Time, msg []byte) error {
	for len(msg) > 0 {
		if len(msg) < replicaHeader {
			return ErrMalformed
		}
		key, present := Key(binary.LittleEndian.Uint32(msg)), msg[replicaHeader-1]
		msg = msg[replicaHeader:]
		if len(msg) < bits.OnesCount8(present)*cellSize {
			return ErrMalformed
		}
		for i := range slots {
			if present&(1<<i) == 0 {
				continue
			}
			b.mergeCell(now, key, i, binary.LittleEndian.Uint16(msg))
			msg = msg[cellSize:]
		}
	}
	return nil
}

func (b *Board) mergeCell(now time.Time, key Key, slot int, v uint16) {
	c := cell{at: now.Add(-time.Duration(v>>8) * ageUnit), arrived: uint8(v >> 4 & maxCount), rejected: uint8(v & maxCount)}
	if !c.valid(now) || c.rejected > c.arrived {
		return
	}
	if b.entries[key] == nil && len(b.entries) >= maxEntries {
		return
	}
	if e := b.entry(key); c.at.After(e.cells[slot].at) {
		e.cells[slot] = c
	}
}
