// Package routes selects the route of a request by its host and path: among the
// routes of the host, the one with the longest prefix of the path.
package routes
