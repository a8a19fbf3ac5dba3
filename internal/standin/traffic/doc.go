// Package traffic simulates the traffic of one pool during the rollout of a new
// version: callers, nodes with an entry and an egress process, and replicas of
// two versions with faults, on virtual time. Tests and measurements use it to
// drive the decisions of a rollout.
package traffic
