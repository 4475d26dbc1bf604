package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// endpointTLS returns the TLS configuration of connections to endpoints, or nil if
// they use plain text.
func (c *Config) endpointTLS() (*tls.Config, error) {
	if c.EndpointTLSCA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.EndpointTLSCA)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	out := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}
	if !out.RootCAs.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s contains no PEM certificate", c.EndpointTLSCA)
	}
	if c.EndpointTLSCert == "" {
		return out, nil
	}
	cert, err := tls.LoadX509KeyPair(c.EndpointTLSCert, c.EndpointTLSKey)
	out.Certificates = []tls.Certificate{cert}
	return out, Error.Wrap(err)
}
