package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	issuer := &authority{}
	issuer.certificate, issuer.key, _ = issuer.sign(t, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return issuer
}

// sign issues a certificate; the first one signs itself.
func (a *authority) sign(t *testing.T, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	template.Subject = pkix.Name{CommonName: "test"}
	template.NotBefore = time.Now().Add(-time.Hour)
	template.NotAfter = time.Now().Add(time.Hour)
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return parsed, key, der
}

// write puts a new certificate, its key and the authority into a directory.
func (a *authority) write(t *testing.T, directory string) Files {
	t.Helper()
	_, key, der := a.sign(t, &x509.Certificate{
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyBytes)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newSource(t *testing.T, files Files) *Source {
	t.Helper()
	source, err := NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func serve(t *testing.T, source *Source) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ErrorLog = nil
	server.TLS = source.Server()
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

func get(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

func newClient(t *testing.T, config *tls.Config) *http.Client {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: config}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func TestMutualTLS(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	serverSource := newSource(t, trusted.write(t, t.TempDir()))
	server := serve(t, serverSource)
	cases := []struct {
		name   string
		config *tls.Config
		works  bool
	}{
		{"certificate of the authority", newSource(t, trusted.write(t, t.TempDir())).Client(), true},
		{"certificate of another authority", newSource(t, other.write(t, t.TempDir())).Client(), false},
		{"no certificate", newSource(t, Files{Authority: trusted.write(t, t.TempDir()).Authority}).Client(), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			err := get(newClient(t, test.config), server.URL)
			if (err == nil) != test.works {
				t.Errorf("request error %v; wanted it to work: %v", err, test.works)
			}
		})
	}
}

func TestReloadReplacesTheAuthorityAndKeepsOpenConnections(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	serverDirectory, clientDirectory := t.TempDir(), t.TempDir()
	serverSource := newSource(t, first.write(t, serverDirectory))
	clientSource := newSource(t, first.write(t, clientDirectory))
	server := serve(t, serverSource)
	open := newClient(t, clientSource.Client())
	if err := get(open, server.URL); err != nil {
		t.Fatal(err)
	}
	second.write(t, serverDirectory)
	if changed, err := serverSource.Reload(); !changed || err != nil {
		t.Fatalf("reload: changed %v, error %v", changed, err)
	}
	if err := get(open, server.URL); err != nil {
		t.Errorf("an open connection was cut by the reload: %v", err)
	}
	if err := get(newClient(t, clientSource.Client()), server.URL); err == nil {
		t.Error("a new connection with the old authority was accepted")
	}
	second.write(t, clientDirectory)
	if _, err := clientSource.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := get(newClient(t, clientSource.Client()), server.URL); err != nil {
		t.Errorf("a new connection with the new authority failed: %v", err)
	}
}

func TestReloadKeepsWhatWorksWhenTheFilesDoNot(t *testing.T) {
	issuer := newAuthority(t)
	files := issuer.write(t, t.TempDir())
	source := newSource(t, files)
	if err := os.WriteFile(files.Key, []byte("not a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := source.Reload(); changed || err == nil {
		t.Errorf("reload of a broken key: changed %v, error %v", changed, err)
	}
	if err := get(newClient(t, source.Client()), serve(t, source).URL); err != nil {
		t.Errorf("the material in use was lost: %v", err)
	}
}
