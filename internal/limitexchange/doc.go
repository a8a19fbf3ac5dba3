// Package limitexchange spreads among the VMs the limits that upstreams name. A VM
// without a share of a limit hears nothing from the upstream, so it learns from the
// others when the limit changes or ends.
//
// While a VM knows of a limit, it exchanges all it knows with another VM chosen at
// random, often after a change and seldom otherwise. News therefore reaches all of n VMs
// in about log n rounds, through any of them, also while the store is away or some VMs
// can't reach each other.
package limitexchange
