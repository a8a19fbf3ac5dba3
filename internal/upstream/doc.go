// Package upstream defines the HTTP/1.1 interface between sapphirewall and the
// servers that hold the data: paths, headers and the formats of their values.
package upstream
