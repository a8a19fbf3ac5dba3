// Package evidenceexchange spreads among the VMs what they observe of replicas that
// reject requests (package decide/evidence).
//
// While a VM knows of recent rejections, it exchanges its evidence twice a second with
// another VM chosen at random. Both messages have a bounded size, and a VM answers a
// bounded number of exchanges, so the bytes of a VM don't grow with the fleet. Without
// rejections nothing is sent. VMs that can't be reached are missed by the others only.
package evidenceexchange
