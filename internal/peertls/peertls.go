package peertls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = time.Second

// Errors returned by Load.
var (
	ErrIncomplete  = errors.New("peertls: [tls] cert, key and ca must be set together")
	ErrNoAuthority = errors.New("peertls: no certificate in the [tls] ca file")
)

// keyMaterial is the content of the files.
type keyMaterial struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Credentials holds the certificate, the key and the certificate authorities of a
// process. It is safe for concurrent use.
type Credentials struct {
	files settings.TLS
	fleet string

	mu        sync.Mutex // guards the fields below
	current   keyMaterial
	modTimes  [3]time.Time // of the files that current was read from
	lastCheck time.Time
}

// Load reads the files. If none is set, it returns nil without an error, which
// means plain TCP.
func Load(files settings.TLS, fleet string) (*Credentials, error) {
	if files == (settings.TLS{}) {
		return nil, nil
	}
	if files.Cert == "" || files.Key == "" || files.CA == "" {
		return nil, ErrIncomplete
	}
	c := &Credentials{files: files, fleet: fleet}
	var err error
	c.modTimes = c.readModTimes()
	c.lastCheck = time.Now()
	c.current, err = c.read()
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Credentials) read() (keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return keyMaterial{}, eris.Wrapf(err, "[tls] cert = %s, key = %s", c.files.Cert, c.files.Key)
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return keyMaterial{}, eris.Wrapf(err, "[tls] ca = %s", c.files.CA)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return keyMaterial{}, eris.Wrapf(ErrNoAuthority, "[tls] ca = %s", c.files.CA)
	}
	return keyMaterial{cert: cert, roots: roots}, nil
}

// readModTimes returns the modification times of the files, zero for a file that
// can't be examined.
func (c *Credentials) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// latest returns the key material. It first reloads the files if they have
// changed. Files that are replaced one by one may not match for a moment; the
// previous material stays in use then, and the next check tries again.
func (c *Credentials) latest() keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < reloadInterval {
		return c.current
	}
	c.lastCheck = time.Now()
	modTimes := c.readModTimes()
	if modTimes == c.modTimes {
		return c.current
	}
	fresh, err := c.read()
	if err != nil {
		telemetry.Map("tls").Add("reload_failures", 1)
		return c.current
	}
	telemetry.Map("tls").Add("reloads", 1)
	c.current, c.modTimes = fresh, modTimes
	return c.current
}

// Dialer returns a DialFunc that opens connections with dial, or over TCP if dial
// is nil, and performs a TLS handshake in which both ends are authenticated.
func (c *Credentials) Dialer(dial peer.DialFunc) peer.DialFunc {
	if dial == nil {
		var d net.Dialer
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		m := c.latest()
		conn := tls.Client(raw, &tls.Config{
			MinVersion: tls.VersionTLS13, ServerName: c.fleet,
			RootCAs: m.roots, Certificates: []tls.Certificate{m.cert},
		})
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "TLS with %s", addr)
		}
		return conn, nil
	}
}

// Listener wraps ln so that only peers of the fleet can open a session.
func (c *Credentials) Listener(ln net.Listener) net.Listener {
	return tls.NewListener(ln, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.latest()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert,
				ClientCAs: m.roots, Certificates: []tls.Certificate{m.cert},
				VerifyConnection: c.verifyFleet,
			}, nil
		},
	})
}

// verifyFleet rejects clients whose certificate does not name the fleet.
func (c *Credentials) verifyFleet(s tls.ConnectionState) error {
	return s.PeerCertificates[0].VerifyHostname(c.fleet)
}
