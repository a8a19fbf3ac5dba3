// Package launch is the common entry point of the binaries: flags (ff), settings
// (INI), logs, traces, a kernel with services, and graceful shutdown on SIGTERM.
package launch
