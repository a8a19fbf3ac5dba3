// Package upstreamlimit keeps the limits that upstreams name in their answers: how many
// requests a second an upstream takes from all VMs together, for as long as it says so.
//
// Notice is what one answer says, Limit what a VM knows of one upstream, and Share the
// part of the limit that a VM may use. All VMs that know the same VMs compute shares
// that add up to the limit. VMs tell each other what they have heard (Report), since
// one without a share hears nothing from the upstream itself.
package upstreamlimit
