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
	// HeadKey is the key of the head.
	HeadKey   = "tables/head"
	pieceKey  = "tables/piece/"
	pieceSize = 768 << 10 // bytes; under platform.MaxValueBytes

	// maxEdits bounds the edits that the head lists.
	maxEdits = 128
	// maxRetired is the number of earlier revisions whose pieces are kept, so
	// that a slow reader of an older head still finds them.
	maxRetired = 4
)

// Head describes the current revision of the tables and where its text is
// stored.
type Head struct {
	Revision uint64            `json:"revision"` // 0: no tables yet
	EditID   string            `json:"edit_id"`
	Pieces   []string          `json:"pieces"` // keys below the fleet's prefix, in the order of the text
	SHA256   string            `json:"sha256"` // of the text
	Edits    []Edit            `json:"edits"`  // last edits, oldest first
	Retired  []RetiredRevision `json:"retired,omitempty"`

	kvRevision uint64 // of the head key
}

// Edit is one accepted edit and the revision that it made.
type Edit struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
}

// RetiredRevision lists the pieces of an earlier revision.
type RetiredRevision struct {
	Revision uint64   `json:"revision"`
	Keys     []string `json:"keys"`
	SHA256   string   `json:"sha256"`
}

// The errors of a commit. After any error except ErrOutcomeUnknown, this call
// has not put the edit in force and never will.
var (
	// ErrConflict means that another edit was committed after the base. The
	// error is a *ConflictError.
	ErrConflict = errors.New("tablestore: another edit was committed first")
	// ErrOutcomeUnknown means that the edit may have been accepted or may still
	// be. Repeating the commit with the same edit ID and text finds out.
	ErrOutcomeUnknown = errors.New("tablestore: not known whether the edit was accepted")
	// ErrBaseTooOld means that the head no longer lists all edits since the
	// base, so an earlier commit of the same edit could go unnoticed.
	ErrBaseTooOld = errors.New("tablestore: base is older than the edits listed in the head")
	// ErrEditIDReused means that the edit ID belongs to an edit with another
	// text.
	ErrEditIDReused = errors.New("tablestore: edit ID was already used for another text")
	// ErrCorrupt means that the stored head can't be decoded or that pieces do
	// not match their checksum.
	ErrCorrupt = errors.New("tablestore: stored tables are corrupt")
	// ErrBadEditID means that an edit ID is empty, too long or has characters
	// that are not allowed in a key.
	ErrBadEditID = errors.New("tablestore: edit ID must have 1 to 64 letters, digits, '-', '_' or '.'")
)

// ConflictError carries the head that replaced the base of a refused edit.
type ConflictError struct {
	Base    uint64
	Current Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: base revision is %d, current revision is %d (edit %s)", ErrConflict, e.Base, e.Current.Revision, e.Current.EditID)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// FindEdit returns the edit with the given ID if h lists it.
func (h Head) FindEdit(editID string) (Edit, bool) {
	for _, e := range h.Edits {
		if e.ID == editID {
			return e, true
		}
	}
	return Edit{}, false
}

// next returns the head that commits text on top of h.
func (h Head) next(text []byte, editID string) Head {
	sum := checksum(text)
	n := Head{Revision: h.Revision + 1, EditID: editID, SHA256: sum}
	for _, p := range split(text) {
		n.Pieces = append(n.Pieces, fmt.Sprintf("%s%s/%d/%s", pieceKey, editID, h.Revision, checksum(p)))
	}
	n.Edits = append(append(n.Edits, h.Edits...), Edit{ID: editID, Revision: n.Revision, SHA256: sum})
	if len(n.Edits) > maxEdits {
		n.Edits = n.Edits[len(n.Edits)-maxEdits:]
	}
	n.Retired = append(n.Retired, h.Retired...)
	if h.Revision > 0 {
		n.Retired = append(n.Retired, RetiredRevision{Revision: h.Revision, Keys: h.Pieces, SHA256: h.SHA256})
	}
	if len(n.Retired) > maxRetired {
		n.Retired = n.Retired[len(n.Retired)-maxRetired:]
	}
	return n
}

// raiseAbove raises the revision of h, and of its last edit, above floor. It is
// for a head that next returned.
func (h *Head) raiseAbove(floor uint64) {
	if h.Revision > floor {
		return
	}
	h.Revision = floor + 1
	h.Edits[len(h.Edits)-1].Revision = h.Revision
}

// droppedPieces returns the keys of the oldest retired revision of h if next no
// longer lists it.
func (h Head) droppedPieces(next Head) []string {
	if len(h.Retired) == 0 || len(next.Retired) == 0 || h.Retired[0].Revision == next.Retired[0].Revision {
		return nil
	}
	return h.Retired[0].Keys
}

// DecodeHead decodes the head from its store entry.
func DecodeHead(e platform.Entry) (Head, error) {
	h := Head{kvRevision: e.Revision}
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return Head{}, eris.Wrapf(ErrCorrupt, "head: %v", err)
	}
	return h, nil
}

// split cuts text into pieces; an empty text becomes one empty piece.
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

const maxEditIDBytes = 64

// checkEditID returns ErrBadEditID for an ID that can't be part of a key.
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
