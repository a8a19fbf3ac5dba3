// Package bench holds the benchmarks that measure the costs per unit of load for
// docs/CAPACITY.md:
//
//	go test ./test/bench -run '^$' -bench .
//
// The metrics cpu-us/... are the processor time of the whole test process. They
// include the fakes or stand-ins at the other end, as each benchmark states.
package bench
