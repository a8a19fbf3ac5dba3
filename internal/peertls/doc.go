// Package peertls secures sessions between processes with mutual TLS, using the
// files of the settings' [tls] section. Both ends must present a certificate that
// one of the certificate authorities has signed and that contains the fleet's
// name as a DNS name. Changed files are reloaded and apply to new sessions
// without a restart.
package peertls
