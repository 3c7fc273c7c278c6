// Package certifier loads TLS certificates from files and reloads them when the
// files change. Reloading needs no restart and does not affect open connections.
package certifier

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/timer"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = 5 * time.Second

// Options names the PEM files of a TLS endpoint. All fields but CA are required.
type Options struct {
	// Certificate and Key are the paths of the endpoint's own certificate and
	// private key.
	Certificate, Key string
	// CA is the path of the certificates that peers are verified against. If it
	// is empty, servers request no client certificate and clients verify servers
	// against the system's certificates.
	CA string
	// Clock determines when the files are checked again.
	Clock timer.Clock
	// Logger receives messages about reloads, successful or not.
	Logger *slog.Logger
}

// identity is the loaded content of the files. It is immutable.
type identity struct {
	certificate *tls.Certificate
	caPool      *x509.CertPool
	// content is the content of the three files.
	content []byte
}

// Certifier provides TLS configurations with the latest valid certificates. It is
// safe for concurrent use. Create one with New.
type Certifier struct {
	opts Options

	mu        sync.Mutex
	identity  *identity
	checkedAt time.Time
}

// New loads the files and returns an error if they are not usable.
func New(opts Options) (*Certifier, error) {
	id, err := load(opts)
	if err != nil {
		return nil, err
	}
	return &Certifier{
		opts:      opts,
		identity:  id,
		checkedAt: opts.Clock.Now(),
	}, nil
}

func load(opts Options) (*identity, error) {
	var content [][]byte
	for _, path := range []string{opts.Certificate, opts.Key, opts.CA} {
		var data []byte
		if path != "" {
			var err error
			if data, err = os.ReadFile(path); err != nil {
				return nil, errors.Wrap(err, "certifier: read file")
			}
		}
		content = append(content, data)
	}
	certificate, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return nil, errors.Wrapf(err, "certifier: certificate %s and key %s", opts.Certificate, opts.Key)
	}
	id := &identity{
		certificate: &certificate,
		content:     bytes.Join(content, nil),
	}
	if opts.CA == "" {
		return id, nil
	}
	id.caPool = x509.NewCertPool()
	if !id.caPool.AppendCertsFromPEM(content[2]) {
		return nil, errors.Errorf("certifier: CA file %s contains no PEM certificate", opts.CA)
	}
	return id, nil
}

// current returns the latest identity that could be loaded, after checking the
// files if checkInterval has passed. If the files are incomplete or do not match
// each other, the previous identity remains in use.
func (c *Certifier) current() *identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	if now.Sub(c.checkedAt) < checkInterval {
		return c.identity
	}
	c.checkedAt = now
	id, err := load(c.opts)
	if err != nil {
		c.opts.Logger.Warn("certifier: reload failed, the previous certificate stays in use", "error", err)
		return c.identity
	}
	if !bytes.Equal(id.content, c.identity.content) {
		c.opts.Logger.Info("certifier: certificate reloaded", "certificate", c.opts.Certificate)
		c.identity = id
	}
	return c.identity
}

// Server returns a configuration for servers that uses the latest certificate for
// each new connection. With a CA file, clients must present a certificate signed
// by that CA.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			id := c.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*id.certificate},
				NextProtos:   []string{"http/1.1"},
			}
			if id.caPool != nil {
				cfg.ClientCAs = id.caPool
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return cfg, nil
		},
	}
}

// Client returns a configuration for one client connection. The client presents
// its certificate and verifies the server against the CA file. Call Client for
// each connection, so that reloaded certificates are used.
func (c *Certifier) Client() *tls.Config {
	id := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*id.certificate},
		RootCAs:      id.caPool,
	}
}
