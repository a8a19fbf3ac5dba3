// Package standinplatform is an in-memory stand-in for the platform in tests
// and trials. It provides the key-value service and the list of VMs, with fault
// injection. Store is called in-process; Server serves a Store over HTTP.
// Scheduler runs several clients of a Store in a chosen order.
package standinplatform
