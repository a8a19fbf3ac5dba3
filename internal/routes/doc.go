// Package routes selects the route of a request by host and path: of the routes of
// the host, the one with the longest prefix that matches the path.
package routes
