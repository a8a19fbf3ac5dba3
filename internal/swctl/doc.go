// Package swctl implements the operators' command line. It checks the two tables,
// commits them to the platform as one revision, and shows the revision in force
// on each node.
package swctl
