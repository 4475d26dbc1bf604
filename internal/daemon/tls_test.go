package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/upstream"
)

// TestEndpointTLS guards against requests to endpoints that are sent without TLS or
// without the client certificate although the flags configure them.
func TestEndpointTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "0")
	}))
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	defer server.Close()
	key, err := x509.MarshalPKCS8PrivateKey(server.TLS.Certificates[0].PrivateKey)
	qt.Assert(t, err, qt.IsNil)
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		qt.Assert(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
		return path
	}
	cert, keyFile := write("cert", "CERTIFICATE", server.Certificate().Raw), write("key", "PRIVATE KEY", key)
	for _, test := range []struct {
		name   string
		config Config
		ok     bool
	}{
		{"plain text", Config{}, false},
		{"no client certificate", Config{EndpointTLSCA: cert}, false},
		{"client certificate", Config{EndpointTLSCA: cert, EndpointTLSCert: cert, EndpointTLSKey: keyFile}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			config, err := test.config.endpointTLS()
			qt.Assert(t, err, qt.IsNil)
			client := upstream.New(upstream.Options{TLS: config})
			defer client.Close()
			response, err := client.Do(context.Background(), upstream.PlainCall{
				Endpoint: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/"})
			if err == nil {
				response.Body.Close()
			}
			qt.Check(t, err == nil && response.Status == http.StatusOK, qt.Equals, test.ok, qt.Commentf("%v", err))
		})
	}
	_, err = (&Config{EndpointTLSCA: keyFile}).endpointTLS()
	qt.Check(t, err, qt.ErrorMatches, ".* contains no PEM certificate")
}
