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

// reloadInterval is the least time between two looks at the files.
const reloadInterval = time.Second

// The errors of Load.
var (
	ErrIncomplete  = errors.New("peertls: [tls] cert, key and ca go together")
	ErrNoAuthority = errors.New("peertls: no certificate in the [tls] ca file")
)

// keyMaterial is what the files hold.
type keyMaterial struct {
	cert tls.Certificate
	roots *x509.CertPool
}

// Credentials holds the certificate, key and authorities of a process. It is
// safe for concurrent use.
type Credentials struct {
	files settings.TLS
	fleet string

	mu      sync.Mutex // guards the fields below
	current keyMaterial
	modTimes   [3]time.Time // of the files when they were read
	lastCheck  time.Time
}

// Load reads the files. It returns nil without an error when none is set, which
// means plain TCP.
func Load(files settings.TLS, fleet string) (*Credentials, error) {
	if files == (settings.TLS{}) {
		return nil, nil
	}
	if files.Cert == "" || files.Key == "" || files.CA == "" {
		return nil, ErrIncomplete
	}
	k := &Credentials{files: files, fleet: fleet}
	var err error
	k.modTimes = k.readModTimes()
	k.lastCheck = time.Now()
	k.current, err = k.read()
	if err != nil {
		return nil, err
	}
	return k, nil
}

func (k *Credentials) read() (keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return keyMaterial{}, eris.Wrapf(err, "[tls] cert = %s, key = %s", k.files.Cert, k.files.Key)
	}
	pem, err := os.ReadFile(k.files.CA)
	if err != nil {
		return keyMaterial{}, eris.Wrapf(err, "[tls] ca = %s", k.files.CA)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return keyMaterial{}, eris.Wrapf(ErrNoAuthority, "[tls] ca = %s", k.files.CA)
	}
	return keyMaterial{cert: cert, roots: pool}, nil
}

// readModTimes returns the times of change of the files; zero for a missing one.
func (k *Credentials) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// latest returns the newest material that could be read. Files that are replaced
// one after the other don't fit together for a moment; the old ones stay in
// use then, and the next look tries again.
func (k *Credentials) latest() keyMaterial {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.lastCheck) < reloadInterval {
		return k.current
	}
	k.lastCheck = time.Now()
	stamp := k.readModTimes()
	if stamp == k.modTimes {
		return k.current
	}
	fresh, err := k.read()
	if err != nil {
		telemetry.Map("tls").Add("reload_failures", 1)
		return k.current
	}
	telemetry.Map("tls").Add("reloads", 1)
	k.current, k.modTimes = fresh, stamp
	return k.current
}

// Dialer returns a DialFunc that opens connections with dial, or with plain TCP
// when it is nil, and proves both ends.
func (k *Credentials) Dialer(dial peer.DialFunc) peer.DialFunc {
	if dial == nil {
		var d net.Dialer
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		m := k.latest()
		conn := tls.Client(raw, &tls.Config{
			MinVersion: tls.VersionTLS13, ServerName: k.fleet,
			RootCAs: m.roots, Certificates: []tls.Certificate{m.cert},
		})
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "TLS with %s", addr)
		}
		return conn, nil
	}
}

// Listener wraps ln so that only peers of the fleet get a session.
func (k *Credentials) Listener(ln net.Listener) net.Listener {
	return tls.NewListener(ln, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.latest()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert,
				ClientCAs: m.roots, Certificates: []tls.Certificate{m.cert},
				VerifyConnection: k.verifyFleet,
			}, nil
		},
	})
}

// verifyFleet refuses clients whose certificate names another fleet.
func (k *Credentials) verifyFleet(s tls.ConnectionState) error {
	return s.PeerCertificates[0].VerifyHostname(k.fleet)
}
