package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/settings"
)

// writeCertificate writes a self-signed certificate for the loopback address and its key to files, and returns the settings
// with their paths. The certificate is also the CA.
func writeCertificate(t *testing.T) *daisygap.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := &daisygap.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "cert")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: cert}, files.Key: {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func TestServerRequiresClientCertificate(t *testing.T) {
	server, client, err := settings.LoadTLS(writeCertificate(t))
	if err != nil {
		t.Fatal(err)
	}
	_, stranger, err := settings.LoadTLS(writeCertificate(t))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Service: echoService{}}
	l := tls.NewListener(plain, server)
	go s.Run(l)
	defer s.Close()
	defer l.Close()
	unknown := stranger.Clone()
	unknown.RootCAs = client.RootCAs
	for _, tt := range []struct {
		name string
		tls  *tls.Config
		ok   bool
	}{
		{"certificate of the same CA", client, true},
		{"no certificate", &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: client.RootCAs}, false},
		{"certificate of another CA", unknown, false},
		{"client that does not trust the CA of the server", stranger, false},
		{"plain TCP", nil, false},
	} {
		c := &Client{TLS: tt.tls}
		_, err := c.Heartbeat(context.Background(), l.Addr().String(), daisygap.Heartbeat{Name: "a"})
		if (err == nil) != tt.ok {
			t.Errorf("%s: got error %v, want success %t", tt.name, err, tt.ok)
		}
		c.Close()
	}
}
