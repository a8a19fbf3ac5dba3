// Package hostlimits asks the machine how much memory and how many descriptors a process may
// use, for what its settings leave out.
package hostlimits
