// Package local runs complete VMs of sapphirewall and the stand-ins that they
// need inside one operating system process. Each process of a VM is a separate
// kernel, and they communicate over loopback sockets. sw-local and sw-load use it.
package local
