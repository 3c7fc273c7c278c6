package loader

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// ServerConfig reads the files and returns the configuration of a listener.
// With CA, clients have to present a certificate that it has signed. A nil
// Certificate gives nil, which stands for plain TCP.
func (c *Certificate) ServerConfig() (*tls.Config, error) {
	config, authorities, err := c.read()
	if err != nil || config == nil {
		return nil, err
	}
	if authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = authorities
	}
	return config, nil
}

// ClientConfig reads the files and returns the configuration of connections
// to other entry hosts, whose certificates have to name their IP address. A
// nil Certificate gives nil, which stands for plain TCP.
func (c *Certificate) ClientConfig() (*tls.Config, error) {
	config, authorities, err := c.read()
	if err != nil || config == nil {
		return nil, err
	}
	config.RootCAs = authorities
	return config, nil
}

func (c *Certificate) read() (*tls.Config, *x509.CertPool, error) {
	if c == nil {
		return nil, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "loader: certificate")
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS13,
	}
	if c.CA == "" {
		return config, nil, nil
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "loader: certificate authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("loader: certificate authority: %s has no certificate", c.CA)
	}
	return config, authorities, nil
}
