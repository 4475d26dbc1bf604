// Package certtest makes certificates for tests.
package certtest

import (
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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Write creates a certificate authority and a certificate for 127.0.0.1 signed by it.
// It writes them to dir and returns the paths of the files.
func Write(t *testing.T, dir string) (cert, key, ca string) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	root := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	rootDER, err := x509.CreateCertificate(rand.Reader, root, root, &caKey.PublicKey, caKey)
	qt.Assert(t, err, qt.IsNil)
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "nord-a-1"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: root.NotBefore, NotAfter: root.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, root, &leafKey.PublicKey, caKey)
	qt.Assert(t, err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	qt.Assert(t, err, qt.IsNil)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		qt.Assert(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
		return path
	}
	return write("cert.pem", "CERTIFICATE", leafDER), write("key.pem", "EC PRIVATE KEY", keyDER), write("ca.pem", "CERTIFICATE", rootDER)
}
