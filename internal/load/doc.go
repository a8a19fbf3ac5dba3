// Package load sends requests at fixed rates that do not depend on the answers
// (an open-loop load), and checks each answer against the data of the upstream
// stand-ins and the requests that they executed. Latency is measured from the
// time at which a request was due, so that a stalled client hides no slow
// answers (coordinated omission).
package load
