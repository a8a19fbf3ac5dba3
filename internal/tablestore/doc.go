// Package tablestore stores the operators' tables in the platform's key-value
// service. The text is split into immutable pieces. One head key, changed by
// compare-and-swap, names the revision, the edit that made it and its pieces.
// The head also lists recent edits, so that an operator whose reply was lost
// can find out whether the edit was accepted, even after later edits.
package tablestore
