package storepack

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirewall/sapphirewall/internal/delta"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// LargeValue is the size of a value, in bytes, from which differences are sent.
const LargeValue = 4 << 10

// maxContentBytes bounds the content of a pack: the largest reply of the store with its
// entries.
const maxContentBytes = 64 << 20

// ErrInvalid means that a pack is broken off, malformed or doesn't fit the values of this
// VM.
var ErrInvalid = errors.New("storepack: pack is invalid")

// Values has values that both VMs know, by key and revision.
type Values func(key string, revision uint64) ([]byte, bool)

// Encode packs entries for a VM that has the bases. values returns those that this VM has
// too.
func Encode(entries []platform.Entry, bases []*swpb.StoreBase, values Values) ([]byte, error) {
	content := &swpb.StoreEntries{}
	for _, e := range entries {
		content.Entries = append(content.Entries, encodeEntry(e, bases, values))
	}
	raw, err := proto.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("storepack: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("storepack: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("storepack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("storepack: %w", err)
	}
	return out.Bytes(), nil
}

func encodeEntry(e platform.Entry, bases []*swpb.StoreBase, values Values) *swpb.StoreEntry {
	out := &swpb.StoreEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
	if len(e.Value) < LargeValue {
		return out
	}
	for _, b := range bases {
		if b.GetKey() != e.Key {
			continue
		}
		if old, ok := values(e.Key, b.GetRevision()); ok {
			out.Value, out.Base, out.Sum = delta.Make(old, e.Value, delta.Objects), b.GetRevision(), xxhash.Sum64(e.Value)
		}
	}
	return out
}

// Decode returns the entries of a pack. The error is ErrInvalid.
func Decode(pack []byte, values Values) ([]platform.Entry, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(pack)), maxContentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(raw) > maxContentBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrInvalid, maxContentBytes)
	}
	content := &swpb.StoreEntries{}
	if err := proto.Unmarshal(raw, content); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	out := make([]platform.Entry, 0, len(content.GetEntries()))
	for _, e := range content.GetEntries() {
		entry, err := decodeEntry(e, values)
		if err != nil {
			return nil, err
		}
		out = append(out, entry)
	}
	return out, nil
}

func decodeEntry(e *swpb.StoreEntry, values Values) (platform.Entry, error) {
	out := platform.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Deleted: e.GetDeleted()}
	if e.GetBase() == 0 {
		return out, nil
	}
	old, ok := values(e.GetKey(), e.GetBase())
	if !ok {
		return out, fmt.Errorf("%w: no value of %s at revision %d", ErrInvalid, e.GetKey(), e.GetBase())
	}
	value, err := delta.Apply(old, e.GetValue(), delta.Objects)
	if err != nil {
		return out, fmt.Errorf("%w: %s at revision %d: %w", ErrInvalid, e.GetKey(), e.GetRevision(), err)
	}
	if xxhash.Sum64(value) != e.GetSum() {
		return out, fmt.Errorf("%w: %s at revision %d differs from what was packed", ErrInvalid, e.GetKey(), e.GetRevision())
	}
	out.Value = value
	return out, nil
}
