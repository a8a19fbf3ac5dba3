// Package direct serves callers on one VM without owners of replicas: this VM
// sends to each replica itself. It is the shell around the decision packages
// discovery, placement, gather, retry and poison: it takes what the store says
// of tables and upstreams, runs requests, and logs each decision with what
// decided it.
package direct
