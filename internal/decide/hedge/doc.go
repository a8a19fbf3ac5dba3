// Package hedge decides when a part of a query is late enough for a hedge, and
// whether the extra load is affordable. One Hedger serves one pool.
//
// Invariant: hedges never exceed MaxShare of the first attempts plus burst, and
// fall to zero as the load of the pool approaches the capacity of its replicas.
package hedge
