// Package storepack packs entries of the store for another VM: of a large value that
// VM has an earlier version of, only the difference goes over the link, and all of it is
// compressed. A configuration has up to a megabyte and a small VM's link carries that in
// half a second, while a change of it is mostly one route.
package storepack
