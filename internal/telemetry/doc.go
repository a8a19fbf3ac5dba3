// Package telemetry sets up a process's logs (zerolog), traces (OpenTelemetry)
// and metrics (expvar on the admin address).
package telemetry
