// Package certificates provides TLS configurations whose certificates, keys and
// certificate authorities are read from files. They are reloaded when the files
// change; established connections are not affected.
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

// Files holds the paths of the PEM files of one side of a connection.
type Files struct {
	// Certificate and Key identify this side. Either both or neither are set.
	Certificate string `yaml:"certificate" validate:"required_with=Key" help:"PEM file of the certificate chain"`
	Key         string `yaml:"key" validate:"required_with=Certificate" help:"PEM file of the private key"`
	// Authority holds the certificate authorities that the peer's certificate
	// is verified against.
	Authority string `yaml:"authority" help:"PEM file of the authorities that the other side's certificate must come from"`
}

// Enabled reports whether any file is configured.
func (f Files) Enabled() bool { return f != Files{} }

// material is the parsed content of Files.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	// contents holds the file contents, to detect changes.
	contents [][]byte
}

// Source provides the current TLS material of Files. It is safe for concurrent
// use.
type Source struct {
	files   Files
	current atomic.Pointer[material]
}

// NewSource loads the files. It returns an error if they are invalid.
func NewSource(files Files) (*Source, error) {
	source := &Source{files: files}
	_, err := source.Reload()
	if err != nil {
		return nil, err
	}
	return source, nil
}

// Reload reads the files again and reports whether they have changed. If they
// are invalid, it returns an error and the current material stays in use.
func (s *Source) Reload() (changed bool, err error) {
	loaded, err := loadMaterial(s.files)
	if err != nil {
		return false, err
	}
	if old := s.current.Load(); old != nil && equalContents(old.contents, loaded.contents) {
		return false, nil
	}
	s.current.Store(loaded)
	return true, nil
}

// Watch reloads the files at the given interval until ctx is done. It calls
// report after each change and each failure.
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

func equalContents(left, right [][]byte) bool {
	for i := range left {
		if !bytes.Equal(left[i], right[i]) {
			return false
		}
	}
	return true
}

func loadMaterial(files Files) (*material, error) {
	loaded := &material{contents: make([][]byte, 3)}
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		if name == "" {
			continue
		}
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read TLS file")
		}
		loaded.contents[i] = content
	}
	if files.Certificate != "" {
		pair, err := tls.X509KeyPair(loaded.contents[0], loaded.contents[1])
		if err != nil {
			return nil, eris.Wrapf(err, "load certificate %s and key %s", files.Certificate, files.Key)
		}
		loaded.certificate = &pair
	}
	if files.Authority != "" {
		loaded.authorities = x509.NewCertPool()
		if !loaded.authorities.AppendCertsFromPEM(loaded.contents[2]) {
			return nil, eris.Errorf("no PEM certificate found in %s", files.Authority)
		}
	}
	return loaded, nil
}

// ServerConfig returns the configuration for a listener. If an authority is
// configured, clients must present a certificate issued by it (mutual TLS).
func (s *Source) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.currentServerConfig(protocols), nil
		},
	}
}

// currentServerConfig returns the server configuration for a new connection,
// based on the current material.
func (s *Source) currentServerConfig(protocols []string) *tls.Config {
	current := s.current.Load()
	config := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols}
	if current.certificate != nil {
		config.Certificates = []tls.Certificate{*current.certificate}
	}
	if current.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = current.authorities
	}
	return config
}

// ClientConfig returns the configuration for outgoing connections, for use with
// DialTLS. The server's certificate must be issued by the authority current at
// the time of the handshake and be valid for the dialled address.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := s.current.Load().certificate; pair != nil {
				return pair, nil
			}
			return &tls.Certificate{}, nil
		},
		// crypto/tls verifies against a fixed pool only. verifyServerCertificate
		// replaces that verification and uses the current pool.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServerCertificate,
	}
}

// verifyServerCertificate verifies the server's chain and name as crypto/tls
// does by default, against the current authorities.
func (s *Source) verifyServerCertificate(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("server presented no certificate")
	}
	if state.ServerName == "" {
		return eris.New("no server name to verify the certificate against")
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
	return eris.Wrap(err, "verify server certificate")
}
