// Package platform defines the platform services that sapphirewall depends on:
// a small key-value service with compare-and-swap, leases and watches, and a
// list of VMs that may be out of date. Its errors distinguish a write that was
// not applied from one that may have been.
package platform
