// Package certificatestest issues certificates for tests and demonstrations
// on loopback.
package certificatestest

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
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/certificates"
)

// validity is the validity period of certificates before and after the time of
// issue.
const validity = time.Hour

const fileMode = 0o600

// Authority is a self-signed certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	authority := &Authority{}
	template := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, key, err := authority.sign(template)
	if err != nil {
		return nil, err
	}
	authority.key = key
	authority.certificate, err = x509.ParseCertificate(der)
	return authority, eris.Wrap(err, "parse CA certificate")
}

// sign generates a key and issues a certificate for it. The first certificate is
// self-signed.
func (a *Authority) sign(template *x509.Certificate) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate key")
	}
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	template.Subject = pkix.Name{CommonName: "doorpond test"}
	template.NotBefore = time.Now().Add(-validity)
	template.NotAfter = time.Now().Add(validity)
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	return der, key, eris.Wrap(err, "sign certificate")
}

// Write issues a certificate for an IP address and writes it, its key and the
// authority's certificate to a directory, replacing existing files.
func (a *Authority) Write(directory string, address net.IP) (certificates.Files, error) {
	der, key, err := a.sign(&x509.Certificate{
		IPAddresses: []net.IP{address},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return certificates.Files{}, err
	}
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return certificates.Files{}, eris.Wrap(err, "encode key")
	}
	files := certificates.Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	for _, file := range []struct {
		path, kind string
		content    []byte
	}{
		{files.Certificate, "CERTIFICATE", der},
		{files.Key, "EC PRIVATE KEY", keyBytes},
		{files.Authority, "CERTIFICATE", a.certificate.Raw},
	} {
		encoded := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.content})
		if err := os.WriteFile(file.path, encoded, fileMode); err != nil {
			return certificates.Files{}, eris.Wrap(err, "write PEM file")
		}
	}
	return files, nil
}
