// Package certifier loads certificates for TLS and loads them again when their
// files change, without a restart and without touching open connections.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/timer"
)

// checkInterval is the time between two looks at the files.
const checkInterval = 5 * time.Second

// Options names the PEM files of one identity.
type Options struct {
	// Certificate and Key belong to this side.
	Certificate, Key string
	// CA verifies the other side; empty means that servers ask for no certificate.
	CA string
	// Clock times the looks at the files.
	Clock timer.Clock
	// Logger takes failed reloads.
	Logger *slog.Logger
}

// identity is one loaded set of files. It is immutable.
type identity struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	// modified is the latest modification time of the files.
	modified time.Time
}

// Certifier holds the newest usable identity. It may be used from any number
// of goroutines; make one with New.
type Certifier struct {
	opts Options

	mu        sync.Mutex
	identity  *identity
	checkedAt time.Time
}

// New loads the files.
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
	certificate, err := tls.LoadX509KeyPair(opts.Certificate, opts.Key)
	if err != nil {
		return nil, errors.Wrap(err, "certifier: certificate and key")
	}
	id := &identity{
		certificate: &certificate,
	}
	for _, path := range []string{opts.Certificate, opts.Key, opts.CA} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(id.modified) {
			id.modified = info.ModTime()
		}
	}
	if opts.CA == "" {
		return id, nil
	}
	data, err := os.ReadFile(opts.CA)
	if err != nil {
		return nil, errors.Wrap(err, "certifier: CA file")
	}
	id.authorities = x509.NewCertPool()
	if !id.authorities.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("certifier: CA file %s holds no PEM certificate", opts.CA)
	}
	return id, nil
}

// current returns the newest identity whose files could be read. Files that
// are half written or do not match leave the former identity in use.
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
		c.opts.Logger.Warn("certifier: reload failed, the former certificate stays in use", "error", err)
		return c.identity
	}
	if !id.modified.Equal(c.identity.modified) {
		c.opts.Logger.Info("certifier: certificate reloaded", "certificate", c.opts.Certificate)
		c.identity = id
	}
	return c.identity
}

// Server returns the configuration of a server. With a CA file clients need a
// certificate of that authority.
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
			if id.authorities != nil {
				cfg.ClientCAs = id.authorities
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return cfg, nil
		},
	}
}

// Client returns the configuration for one connection of a client that shows
// its certificate and verifies the server against the CA file. Ask for it again
// for each connection, so that reloaded files are used.
func (c *Certifier) Client() *tls.Config {
	id := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*id.certificate},
		RootCAs:      id.authorities,
	}
}
