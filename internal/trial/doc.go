// Package trial runs fault scenarios on a deployment. Each VM is a separate
// process, stand-ins replace the platform and the upstreams, and an open-loop
// load replaces the callers. Each scenario runs under several policies, one after
// the other, with the same plan of requests, and every answer is checked.
package trial
