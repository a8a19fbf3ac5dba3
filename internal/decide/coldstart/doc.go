// Package coldstart limits the attempts in flight to a replica whose capacity is
// not known yet. The limit starts at the cold budget. It grows by one after
// attempts that filled it were executed at normal speed, and returns to the cold
// budget on a restart, a lost connection, or sudden slowness. Reports of the
// upstream can hold the limit back for a while, but never raise it.
//
// Invariant: the limit is between 0 and Config.Warm, and not above the cold budget
// until there is evidence from the current start of the replica.
package coldstart
