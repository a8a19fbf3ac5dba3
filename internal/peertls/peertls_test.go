package peertls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/peertls"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestPeerTLS(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peertls")
}

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{cert, key}
}

// write writes a certificate for a fleet, its key and the authority's certificate
// to files in dir.
func (a *authority) write(dir, fleet string, notAfter time.Time) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{fleet}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	put := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
		return path
	}
	return settings.TLS{Cert: put("cert", "CERTIFICATE", der), Key: put("key", "EC PRIVATE KEY", keyDER), CA: put("ca", "CERTIFICATE", a.cert.Raw)}
}

func load(files settings.TLS, fleet string) *peertls.Credentials {
	k, err := peertls.Load(files, fleet)
	Expect(err).NotTo(HaveOccurred())
	return k
}

var _ = Describe("sessions", func() {
	var calls atomic.Int64
	var a *authority
	var dir string
	later := time.Now().Add(time.Hour)

	serve := func(k *peertls.Credentials) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := peer.Serve(k.Listener(ln), peer.Options{Self: peer.Identity{Fleet: "f"}}, peer.HandlerFunc(
			func(context.Context, peer.Identity, *swpb.Envelope) (*swpb.Envelope, error) {
				calls.Add(1)
				return &swpb.Envelope{Body: &swpb.Envelope_StatusReply{StatusReply: &swpb.StatusReply{}}}, nil
			}))
		DeferCleanup(srv.Close)
		return srv.Addr()
	}
	call := func(addr string, dial peer.DialFunc) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c := peer.NewClient(addr, peer.Options{Self: peer.Identity{Fleet: "f"}, Streams: 1, Dial: dial, DialTimeout: 5 * time.Second})
		defer c.Close()
		_, err := c.Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_StatusRequest{StatusRequest: &swpb.StatusRequest{}}})
		return err
	}

	BeforeEach(func() {
		calls.Store(0)
		a, dir = newAuthority(), GinkgoT().TempDir()
	})

	It("are accepted from peers of the fleet only", func() {
		keys := load(a.write(dir, "f", later), "f")
		addr := serve(keys)
		Expect(call(addr, keys.Dialer(nil))).To(Succeed())
		Expect(call(addr, nil)).NotTo(Succeed(), "plain TCP")
		Expect(call(addr, load(a.write(GinkgoT().TempDir(), "g", later), "f").Dialer(nil))).NotTo(Succeed(), "certificate of another fleet")
		Expect(call(addr, load(newAuthority().write(GinkgoT().TempDir(), "f", later), "f").Dialer(nil))).NotTo(Succeed(), "another authority")
		expired := a.write(GinkgoT().TempDir(), "f", time.Now().Add(-time.Hour))
		Expect(call(addr, load(expired, "f").Dialer(nil))).NotTo(Succeed(), "expired")
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	It("use changed files without a restart and keep the previous ones while the files don't match", func() {
		keys := load(a.write(dir, "f", later), "f")
		addr := serve(keys)
		next := newAuthority()
		files := next.write(dir, "f", later)
		future := time.Now().Add(time.Minute)
		for _, name := range []string{files.Cert, files.Key, files.CA} {
			Expect(os.Chtimes(name, future, future)).To(Succeed())
		}
		client := load(next.write(GinkgoT().TempDir(), "f", later), "f")
		Eventually(func() error { return call(addr, client.Dialer(nil)) }, "10s").Should(Succeed())
		Expect(os.WriteFile(files.Key, []byte("half"), 0o600)).To(Succeed())
		time.Sleep(1100 * time.Millisecond) // longer than reloadInterval
		Expect(call(addr, client.Dialer(nil))).To(Succeed())
	})

	It("need all three files or none", func() {
		k, err := peertls.Load(settings.TLS{}, "f")
		Expect(k, err).To(BeNil())
		_, err = peertls.Load(settings.TLS{Cert: "c"}, "f")
		Expect(err).To(MatchError(peertls.ErrIncomplete))
	})
})
