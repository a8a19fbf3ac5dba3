// Package platformsvc is the kernel service through which other services
// reach the platform's key-value service and list of VMs.
package platformsvc
