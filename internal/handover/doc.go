// Package handover has the requests of a VM that is cut off from replicas served by
// another VM. Such a VM still has its callers' connections, and refusing them there costs
// each caller a try.
//
// The VM finds that it hears nothing from replicas (package decide/reach) and asks other
// VMs whether they reach them. While some do, it hands whole requests over to them, each
// to one VM, chosen by package decide/helpers; the answer, its coverage, receipts and
// verdict come back unchanged. A request that is handed over isn't handed on. If no VM
// reaches more replicas than this one, they are down, and the VM goes on by itself. A
// request that needs only pools whose replicas this VM hears stays here.
//
// A request that needs a degraded pool is served here as long as an open connection is free
// for it, and handed over otherwise. If no VM takes it, it waits for an open connection.
//
// Meanwhile the VM opens a connection to one of the lost replicas at a time. When these
// succeed, it serves by itself again.
package handover
