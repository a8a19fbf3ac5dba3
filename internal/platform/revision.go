package platform

// eraShift is the number of bits of a store's own revision in a Revision of Entry
// and Changes. The bits above hold the store's era.
const eraShift = 40

// JoinRevision returns the revision that orders a change of a store's era. The store
// comes back from an older copy as a new era, in which it gives out revisions again
// that VMs have seen in the one before. The era is 0 if the store doesn't state it.
func JoinRevision(era, revision uint64) uint64 { return era<<eraShift | revision }

// SplitRevision returns the era and the store's own revision.
func SplitRevision(r uint64) (era, revision uint64) { return r >> eraShift, r & (1<<eraShift - 1) }

// EraOf returns the era of a revision.
func EraOf(r uint64) uint64 { return r >> eraShift }
