// Package claims is the service of sw-control that owns ranges of idempotency
// keys: it answers ClaimRequests and stores claims in the platform's key-value
// service. internal/decide/claim makes the decisions.
package claims
