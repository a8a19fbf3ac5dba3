// Package usagereport counts the requests of each team on a VM, exchanges the counts with
// other VMs, and reports their sums by window of true time. Package decide/usage decides;
// docs/design/usage-reports.md describes the whole.
//
// A VM sends its counts to the reporter and to one other VM. The reporter holds a lease in
// the store, writes the sums of a window there, and calls the service that takes them.
package usagereport
