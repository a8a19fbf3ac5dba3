// Package adminhttp serves the addresses of a process for operators and for the load
// balancer. They accept few connections and no bodies, so that whoever reaches them can take
// no more than a small part of the process's memory and descriptors.
package adminhttp
