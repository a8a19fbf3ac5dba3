package tablestore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

// The layout below the fleet's prefix.
const (
	// HeadKey names the head.
	HeadKey   = "tables/head"
	pieceKey  = "tables/piece/"
	pieceSize = 768 << 10 // bytes; under platform.MaxValueBytes

	// keptEdits bounds the edits that the head remembers.
	keptEdits = 128
	// keptRevisions is for how many revisions pieces outlive their head, so
	// that a slow reader of an older head still finds them.
	keptRevisions = 4
)

// Head says what the tables are.
type Head struct {
	Revision uint64            `json:"revision"` // 0: no tables yet
	EditID   string            `json:"edit_id"`
	Pieces   []string          `json:"pieces"` // keys below the prefix
	SHA256   string            `json:"sha256"` // of the text
	Edits    []Edit            `json:"edits"`  // last edits, oldest first
	Retired  []RetiredRevision `json:"retired,omitempty"`

	kvRevision uint64 // of the head key
}

// Edit is one accepted change.
type Edit struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
}

// RetiredRevision are the pieces of an earlier revision.
type RetiredRevision struct {
	Revision uint64   `json:"revision"`
	Keys     []string `json:"keys"`
	SHA256   string   `json:"sha256"`
}

// The errors of a commit. After any error but ErrOutcomeUnknown the edit is not in
// force and never will be by this call.
var (
	// ErrConflict means that another edit took the revision. The error is a
	// *ConflictError.
	ErrConflict = errors.New("tablestore: another edit came first")
	// ErrOutcomeUnknown means that the edit may be accepted now or later. The same
	// commit with the same edit ID finds out.
	ErrOutcomeUnknown = errors.New("tablestore: not known whether the edit was accepted")
	// ErrBaseTooOld means that the edit's base is older than the edits that the
	// head remembers, so that an earlier try can't be found out about.
	ErrBaseTooOld = errors.New("tablestore: base is older than the remembered edits")
	// ErrEditIDReused means that the edit ID was used for another text.
	ErrEditIDReused = errors.New("tablestore: edit ID was used for another text")
	// ErrCorrupt means that stored tables don't match their checksums.
	ErrCorrupt = errors.New("tablestore: stored tables are damaged")
	// ErrBadEditID means that an edit ID has a wrong form.
	ErrBadEditID = errors.New("tablestore: edit ID must have 1 to 64 letters, digits, '-', '_' or '.'")
)

// ConflictError tells which edit came first.
type ConflictError struct {
	Base    uint64
	Current Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: base %d, now at revision %d (edit %s)", ErrConflict, e.Base, e.Current.Revision, e.Current.EditID)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// FindEdit returns the remembered edit of an ID.
func (h Head) FindEdit(editID string) (Edit, bool) {
	for _, e := range h.Edits {
		if e.ID == editID {
			return e, true
		}
	}
	return Edit{}, false
}

// next returns the head that follows h.
func (h Head) next(text []byte, editID string) Head {
	sum := checksum(text)
	n := Head{Revision: h.Revision + 1, EditID: editID, SHA256: sum}
	for _, p := range split(text) {
		n.Pieces = append(n.Pieces, fmt.Sprintf("%s%s/%d/%s", pieceKey, editID, h.Revision, checksum(p)))
	}
	n.Edits = append(append(n.Edits, h.Edits...), Edit{ID: editID, Revision: n.Revision, SHA256: sum})
	if len(n.Edits) > keptEdits {
		n.Edits = n.Edits[len(n.Edits)-keptEdits:]
	}
	n.Retired = append(n.Retired, h.Retired...)
	if h.Revision > 0 {
		n.Retired = append(n.Retired, RetiredRevision{Revision: h.Revision, Keys: h.Pieces, SHA256: h.SHA256})
	}
	if len(n.Retired) > keptRevisions {
		n.Retired = n.Retired[len(n.Retired)-keptRevisions:]
	}
	return n
}

// raise lifts the revision of h, which next made, above floor.
func (h *Head) raise(floor uint64) {
	if h.Revision > floor {
		return
	}
	h.Revision = floor + 1
	h.Edits[len(h.Edits)-1].Revision = h.Revision
}

// expired returns the pieces that h keeps and next does not.
func (h Head) expired(next Head) []string {
	if len(h.Retired) == 0 || len(next.Retired) == 0 || h.Retired[0].Revision == next.Retired[0].Revision {
		return nil
	}
	return h.Retired[0].Keys
}

// DecodeHead reads the head of an entry.
func DecodeHead(e platform.Entry) (Head, error) {
	h := Head{kvRevision: e.Revision}
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return Head{}, eris.Wrapf(ErrCorrupt, "head: %v", err)
	}
	return h, nil
}

// split cuts text into pieces; an empty text has one empty piece.
func split(text []byte) [][]byte {
	var out [][]byte
	for len(text) > pieceSize {
		out = append(out, text[:pieceSize])
		text = text[pieceSize:]
	}
	return append(out, text)
}

func checksum(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// maxEditIDBytes bounds an edit ID.
const maxEditIDBytes = 64

// checkEditID refuses IDs that don't fit into a key.
func checkEditID(id string) error {
	if id == "" || len(id) > maxEditIDBytes {
		return ErrBadEditID
	}
	for _, c := range id {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return ErrBadEditID
		}
	}
	return nil
}
