// Package delta encodes a text as the lines that it shares with an older text and
// the lines that are new. Most edits of the tables change a few lines, while the
// tables of a large fleet have close to a megabyte: sending them whole to every
// node at each change would use up the bandwidth allowed to the control processes.
package delta
