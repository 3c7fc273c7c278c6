package loader_test

import (
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

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/loader"
)

// certificate writes a self-signed certificate for 127.0.0.1 that is its own
// authority.
func certificate(t *testing.T) *loader.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	c := &loader.Certificate{
		Certificate: filepath.Join(t.TempDir(), "cert.pem"),
		Key:         filepath.Join(t.TempDir(), "key.pem"),
	}
	c.CA = c.Certificate
	for path, block := range map[string]*pem.Block{
		c.Certificate: {
			Type:  "CERTIFICATE",
			Bytes: der,
		},
		c.Key: {
			Type:  "PRIVATE KEY",
			Bytes: private,
		},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// Guards against an entry host that accepts peers without a certificate of
// the authority.
func TestPeersCheckEachOther(t *testing.T) {
	known, other := certificate(t), certificate(t)
	tests := map[string]struct {
		client *loader.Certificate
		ok     bool
	}{
		"same authority": {
			client: known,
			ok:     true,
		},
		"other authority": {
			client: &loader.Certificate{
				Certificate: other.Certificate,
				Key:         other.Key,
				CA:          known.CA,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			serverConfig, err := known.ServerConfig()
			is.NoErr(err)
			clientConfig, err := tt.client.ClientConfig()
			is.NoErr(err)
			clientConfig.ServerName = "127.0.0.1"
			near, far := net.Pipe()
			defer near.Close()
			// A read also takes the session tickets that follow the handshake.
			go func() { _, _ = tls.Client(near, clientConfig).Read(make([]byte, 1)) }()
			is.Equal(tls.Server(far, serverConfig).Handshake() == nil, tt.ok)
		})
	}
}

// Guards against plain connections with a certificate that can't be read.
func TestUnreadableCertificate(t *testing.T) {
	is := is.New(t)
	var none *loader.Certificate
	config, err := none.ServerConfig()
	is.NoErr(err)
	is.True(config == nil) // no certificate means plain TCP
	_, err = (&loader.Certificate{
		Certificate: "missing.pem",
	}).ServerConfig()
	is.True(err != nil)
	c := certificate(t)
	c.CA = c.Key
	_, err = c.ClientConfig()
	is.True(err != nil) // a file without a certificate is no authority
}
