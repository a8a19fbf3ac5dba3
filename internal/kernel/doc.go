// Package kernel manages the lifecycle of a process's services. Each service is
// registered under a name and lists the names of the services it depends on,
// which it looks up when it starts. Services start in dependency order and stop
// in reverse order.
package kernel
