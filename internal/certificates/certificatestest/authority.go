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

// validity is how long certificates are good for, before and after now.
const validity = time.Hour

// fileMode keeps keys from other users.
const fileMode = 0o600

// Authority issues certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New makes an authority of its own.
func New() (*Authority, error) {
	authority := &Authority{}
	template := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, key, err := authority.sign(template)
	if err != nil {
		return nil, err
	}
	authority.key = key
	authority.certificate, err = x509.ParseCertificate(der)
	return authority, eris.Wrap(err, "read the authority's certificate")
}

// sign issues a certificate; the first one signs itself.
func (a *Authority) sign(template *x509.Certificate) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "make a key")
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
	return der, key, eris.Wrap(err, "sign a certificate")
}

// Write puts a new certificate that names an address, its key and the
// authority into a directory, over those that may be there.
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
		return certificates.Files{}, eris.Wrap(err, "encode a key")
	}
	files := certificates.Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	for _, one := range []struct {
		path, kind string
		content    []byte
	}{
		{files.Certificate, "CERTIFICATE", der},
		{files.Key, "EC PRIVATE KEY", keyBytes},
		{files.Authority, "CERTIFICATE", a.certificate.Raw},
	} {
		encoded := pem.EncodeToMemory(&pem.Block{Type: one.kind, Bytes: one.content})
		if err := os.WriteFile(one.path, encoded, fileMode); err != nil {
			return certificates.Files{}, eris.Wrap(err, "write a PEM file")
		}
	}
	return files, nil
}
