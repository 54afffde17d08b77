// Package certificates gives TLS configurations whose keys and authorities
// come from files and are replaced when the files change, without cutting
// connections that are open.
package certificates

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Files names the PEM files of one side of a connection.
type Files struct {
	// Certificate and Key identify this side; both or neither are set.
	Certificate string `yaml:"certificate" validate:"required_with=Key" help:"PEM file of the certificate chain"`
	Key         string `yaml:"key" validate:"required_with=Certificate" help:"PEM file of the private key"`
	// Authority verifies the other side.
	Authority string `yaml:"authority" help:"PEM file of the authorities that the other side's certificate must come from"`
}

// Enabled tells whether any file is named.
func (f Files) Enabled() bool { return f != Files{} }

// material is what the files held when they were read last.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	raw         [][]byte
}

// Source keeps the material of Files up to date.
type Source struct {
	files   Files
	current atomic.Pointer[material]
}

// NewSource reads the files once; it fails if they are not usable.
func NewSource(files Files) (*Source, error) {
	source := &Source{files: files}
	_, err := source.Reload()
	if err != nil {
		return nil, err
	}
	return source, nil
}

// Reload reads the files again and tells whether they had changed. If they
// are not usable, the material in use stays.
func (s *Source) Reload() (changed bool, err error) {
	read, err := readMaterial(s.files)
	if err != nil {
		return false, err
	}
	if old := s.current.Load(); old != nil && sameBytes(old.raw, read.raw) {
		return false, nil
	}
	s.current.Store(read)
	return true, nil
}

// Watch reloads at an interval until ctx ends; report hears of each change
// and of each failure.
func (s *Source) Watch(ctx context.Context, interval time.Duration, report func(changed bool, err error)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			changed, err := s.Reload()
			if changed || err != nil {
				report(changed, err)
			}
		}
	}
}

func sameBytes(left, right [][]byte) bool {
	for i := range left {
		if !bytes.Equal(left[i], right[i]) {
			return false
		}
	}
	return true
}

func readMaterial(files Files) (*material, error) {
	read := &material{raw: make([][]byte, 3)}
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		if name == "" {
			continue
		}
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read TLS file")
		}
		read.raw[i] = content
	}
	if files.Certificate != "" {
		pair, err := tls.X509KeyPair(read.raw[0], read.raw[1])
		if err != nil {
			return nil, eris.Wrapf(err, "load certificate %s and key %s", files.Certificate, files.Key)
		}
		read.certificate = &pair
	}
	if files.Authority != "" {
		read.authorities = x509.NewCertPool()
		if !read.authorities.AppendCertsFromPEM(read.raw[2]) {
			return nil, eris.Errorf("%s holds no PEM certificate", files.Authority)
		}
	}
	return read, nil
}

// ServerConfig returns the configuration of a listener. Where an authority is
// named, clients must show a certificate from it (mutual TLS).
func (s *Source) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverNow(protocols), nil
		},
	}
}

// serverNow returns the listener's configuration for one new connection.
func (s *Source) serverNow(protocols []string) *tls.Config {
	now := s.current.Load()
	config := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols}
	if now.certificate != nil {
		config.Certificates = []tls.Certificate{*now.certificate}
	}
	if now.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = now.authorities
	}
	return config
}

// ClientConfig returns the configuration of outgoing connections, to be used by
// DialTLS. The server's certificate must come from the authority as it is at
// that moment and name the address that was dialled.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := s.current.Load().certificate; pair != nil {
				return pair, nil
			}
			return &tls.Certificate{}, nil
		},
		// The library checks against a fixed pool only; verifyServer does the
		// same check against the pool of the moment.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

// verifyServer is the library's own check with the present authorities.
func (s *Source) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the server showed no certificate")
	}
	if state.ServerName == "" {
		return eris.New("the address that the server must name is not known")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       state.ServerName,
		Roots:         s.current.Load().authorities,
		Intermediates: intermediates,
	})
	return eris.Wrap(err, "verify the server's certificate")
}
