// Package tables holds the two tables of the operators: routes, which say where
// each kind of request goes, and pools, which say which upstreams serve them.
// Both are INI text and are committed together as one revision. The types are
// immutable once parsed and may be shared between goroutines.
package tables
