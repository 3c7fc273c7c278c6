package certifier_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/certifier"
	"github.com/heathermux/heathermux/pkg/timer"
)

// authority is a certificate authority with a self-signed certificate.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{
		key: newKey(t),
		certificate: &x509.Certificate{
			SerialNumber:          big.NewInt(1),
			NotAfter:              time.Now().Add(time.Hour),
			IsCA:                  true,
			BasicConstraintsValid: true,
			KeyUsage:              x509.KeyUsageCertSign,
		},
	}
	a.pem = a.sign(t, a.certificate, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) sign(t *testing.T, template *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{
		Type:  "CERTIFICATE",
		Bytes: der,
	})
}

// files are the paths of the PEM files of one TLS endpoint.
type files struct {
	certificate, key, ca string
}

func newFiles(t *testing.T) files {
	t.Helper()
	folder := t.TempDir()
	return files{
		certificate: filepath.Join(folder, "cert.pem"),
		key:         filepath.Join(folder, "key.pem"),
		ca:          filepath.Join(folder, "ca.pem"),
	}
}

// write creates the files with a new key and a certificate for 127.0.0.1 that
// expires after the given time.
func (f files) write(t *testing.T, a *authority, serial int64, valid time.Duration) {
	t.Helper()
	key := newKey(t)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, data := range map[string][]byte{
		f.ca: a.pem,
		f.key: pem.EncodeToMemory(&pem.Block{
			Type:  "PRIVATE KEY",
			Bytes: private,
		}),
		f.certificate: a.sign(t, &x509.Certificate{
			SerialNumber: big.NewInt(serial),
			NotBefore:    time.Now().Add(-2 * time.Hour),
			NotAfter:     time.Now().Add(valid),
			IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		}, key),
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func (f files) open(t *testing.T, clock timer.Clock) *certifier.Certifier {
	t.Helper()
	c, err := certifier.New(certifier.Options{
		Certificate: f.certificate,
		Key:         f.key,
		CA:          f.ca,
		Clock:       clock,
		Logger:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// handshake connects a client to a server and returns the serial number of the
// server's certificate.
func handshake(t *testing.T, server, client *certifier.Certifier) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client.Client())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	// In TLS 1.3, the client learns with its first read whether the server has
	// accepted its certificate.
	if _, err := conn.Write([]byte("x")); err != nil {
		return 0, err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Servers and clients must only accept certificates that are signed by their
// common authority and have not expired.
func TestMutualAuthentication(t *testing.T) {
	common, other := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		server, client       *authority
		serverFor, clientFor time.Duration
		ok                   bool
	}{
		"same authority": {
			server:    common,
			client:    common,
			serverFor: time.Hour,
			clientFor: time.Hour,
			ok:        true,
		},
		"unknown client": {
			server:    common,
			client:    other,
			serverFor: time.Hour,
			clientFor: time.Hour,
		},
		"unknown server": {
			server:    other,
			client:    common,
			serverFor: time.Hour,
			clientFor: time.Hour,
		},
		"expired client": {
			server:    common,
			client:    common,
			serverFor: time.Hour,
			clientFor: -time.Hour,
		},
		"expired server": {
			server:    common,
			client:    common,
			serverFor: -time.Hour,
			clientFor: time.Hour,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newFiles(t), newFiles(t)
			server.write(t, test.server, 1, test.serverFor)
			client.write(t, test.client, 2, test.clientFor)
			_, err := handshake(t, server.open(t, timer.System()), client.open(t, timer.System()))
			is.Equal(err == nil, test.ok)
		})
	}
}

// A renewed certificate must be used without a restart. Incompletely written
// files must not replace a valid certificate.
func TestReload(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	f := newFiles(t)
	f.write(t, a, 1, time.Hour)
	clock := timer.NewFake(time.Now())
	server := f.open(t, clock)
	client := f.open(t, timer.System())
	serial, err := handshake(t, server, client)
	is.NoErr(err)
	is.Equal(serial, int64(1))

	is.NoErr(os.WriteFile(f.key, []byte("half"), 0o600))
	clock.Advance(time.Minute)
	serial, err = handshake(t, server, client)
	is.NoErr(err)
	is.Equal(serial, int64(1))

	f.write(t, a, 2, time.Hour)
	clock.Advance(time.Minute)
	serial, err = handshake(t, server, client)
	is.NoErr(err)
	is.Equal(serial, int64(2))
}

// A certificate that is replaced by a file with an older time, for example from a
// backup or with "cp -p", must be used: the times used to be compared, not the content.
func TestReloadOfOlderFile(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	f := newFiles(t)
	f.write(t, a, 1, time.Hour)
	now := time.Now()
	is.NoErr(os.Chtimes(f.ca, now, now))
	clock := timer.NewFake(now)
	server := f.open(t, clock)
	client := f.open(t, timer.System())
	f.write(t, a, 2, time.Hour)
	for path, age := range map[string]time.Duration{
		f.ca:          0,
		f.key:         time.Hour,
		f.certificate: time.Hour,
	} {
		is.NoErr(os.Chtimes(path, now.Add(-age), now.Add(-age)))
	}
	clock.Advance(time.Minute)
	serial, err := handshake(t, server, client)
	is.NoErr(err)
	is.Equal(serial, int64(2))
}

// New must return an error if a file is not usable.
func TestUnusableFiles(t *testing.T) {
	damages := map[string]func(path string) error{
		"missing":     os.Remove,
		"no PEM":      func(path string) error { return os.WriteFile(path, []byte("none"), 0o600) },
		"empty":       func(path string) error { return os.Truncate(path, 0) },
		"cut in half": func(path string) error { return os.Truncate(path, 60) },
	}
	files := map[string]func(f files) string{
		"certificate": func(f files) string { return f.certificate },
		"key":         func(f files) string { return f.key },
		"CA":          func(f files) string { return f.ca },
	}
	for damageName, damage := range damages {
		for name, path := range files {
			t.Run(name+" "+damageName, func(t *testing.T) {
				is := is.New(t)
				f := newFiles(t)
				f.write(t, newAuthority(t), 1, time.Hour)
				is.NoErr(damage(path(f)))
				is.True(newError(f) != nil)
			})
		}
	}
	t.Run("key of another certificate", func(t *testing.T) {
		f, other := newFiles(t), newFiles(t)
		f.write(t, newAuthority(t), 1, time.Hour)
		other.write(t, newAuthority(t), 2, time.Hour)
		f.key = other.key
		is.New(t).True(newError(f) != nil)
	})
}

func newError(f files) error {
	_, err := certifier.New(certifier.Options{
		Certificate: f.certificate,
		Key:         f.key,
		CA:          f.ca,
		Clock:       timer.System(),
	})
	return err
}
