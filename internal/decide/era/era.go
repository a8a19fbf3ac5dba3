// Package era orders the revisions of the platform's store. The store may come back
// from an older copy of itself, as a new era, in which it gives out revisions again
// that were seen in the era before. A revision that includes the era orders all
// changes.
package era

// shift is the number of bits of the store's own revision. The bits above hold the
// era.
const shift = 40

// Join returns the revision of a change that the store made in an era. The era is 0
// if the store doesn't state it.
func Join(era, own uint64) uint64 { return era<<shift | own }

// Split returns the era of a revision and the store's own revision in it.
func Split(revision uint64) (era, own uint64) { return revision >> shift, revision & (1<<shift - 1) }

// Of returns the era of a revision.
func Of(revision uint64) uint64 { return revision >> shift }
