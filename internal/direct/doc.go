// Package direct serves callers on one VM without owners of replicas: the VM
// sends to each replica itself. It applies the tables and the upstreams'
// registrations from the store and executes the decisions of the packages
// discovery, placement, gather, retry and poison, and logs each decision with the
// values that it is based on.
package direct
