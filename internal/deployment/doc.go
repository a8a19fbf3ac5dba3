// Package deployment reads the description of a deployment for trials: its
// zones and the delays between them, its VMs, the service times of its pools,
// and the request rates of its routes. The tables are in a separate file.
package deployment
