// Package suspects shares among all VMs which requests are suspected of crashing
// upstreams. A caller sends such a request again and reaches another VM, so a VM
// that knows only of its own crashes would let it crash as many replicas again.
//
// The Board of a VM holds its poison.Ledger. The Service keeps one store entry for
// each suspicion: the key is the request's fingerprint in hexadecimal, the value
// the decimal number of crashes. It watches the entries of all VMs and writes the
// changes of this one, conditionally and under a lease, so that an entry disappears
// some time after its last crash, whichever VMs are left.
//
// While the store is unavailable, each VM counts by itself and shares what it has
// counted afterwards.
package suspects
