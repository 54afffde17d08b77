package certificates_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/certificates/certificatestest"
)

// authority wraps certificatestest.Authority and fails the test on errors.
type authority struct {
	*certificatestest.Authority
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	issuer, err := certificatestest.New()
	if err != nil {
		t.Fatal(err)
	}
	return &authority{issuer}
}

// write writes a new certificate for 127.0.0.1, its key and the authority's
// certificate to a directory.
func (a *authority) write(t *testing.T, directory string) certificates.Files {
	t.Helper()
	return a.writeFor(t, directory, net.IPv4(127, 0, 0, 1))
}

// writeFor is like write for a given address.
func (a *authority) writeFor(t *testing.T, directory string, address net.IP) certificates.Files {
	t.Helper()
	files, err := a.Write(directory, address)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func newSource(t *testing.T, files certificates.Files) *certificates.Source {
	t.Helper()
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func serve(t *testing.T, source *certificates.Source) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ErrorLog = nil
	server.TLS = source.ServerConfig()
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
	transport := &http.Transport{DialTLSContext: certificates.DialTLS(config, (&net.Dialer{}).DialContext)}
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
		wantOK bool
	}{
		{"trusted authority", newSource(t, trusted.write(t, t.TempDir())).ClientConfig(), true},
		{"untrusted authority", newSource(t, other.write(t, t.TempDir())).ClientConfig(), false},
		{"no certificate", newSource(t, certificates.Files{Authority: trusted.write(t, t.TempDir()).Authority}).ClientConfig(), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			err := get(newClient(t, test.config), server.URL)
			if (err == nil) != test.wantOK {
				t.Errorf("request error %v, want success: %v", err, test.wantOK)
			}
		})
	}
}

func TestReloadReplacesAuthority(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	serverDirectory, clientDirectory := t.TempDir(), t.TempDir()
	serverSource := newSource(t, first.write(t, serverDirectory))
	clientSource := newSource(t, first.write(t, clientDirectory))
	server := serve(t, serverSource)
	established := newClient(t, clientSource.ClientConfig())
	if err := get(established, server.URL); err != nil {
		t.Fatal(err)
	}
	second.write(t, serverDirectory)
	if changed, err := serverSource.Reload(); !changed || err != nil {
		t.Fatalf("reload: changed %v, error %v", changed, err)
	}
	if err := get(established, server.URL); err != nil {
		t.Errorf("reload closed an established connection: %v", err)
	}
	if err := get(newClient(t, clientSource.ClientConfig()), server.URL); err == nil {
		t.Error("server accepted a new connection with the old authority")
	}
	second.write(t, clientDirectory)
	if _, err := clientSource.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := get(newClient(t, clientSource.ClientConfig()), server.URL); err != nil {
		t.Errorf("new connection with the new authority failed: %v", err)
	}
}

func TestReloadKeepsMaterialOnInvalidFiles(t *testing.T) {
	issuer := newAuthority(t)
	files := issuer.write(t, t.TempDir())
	source := newSource(t, files)
	if err := os.WriteFile(files.Key, []byte("not a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := source.Reload(); changed || err == nil {
		t.Errorf("reload with an invalid key: changed %v, error %v", changed, err)
	}
	if err := get(newClient(t, source.ClientConfig()), serve(t, source).URL); err != nil {
		t.Errorf("request with the previous material failed: %v", err)
	}
}

func TestClientVerifiesDialledAddress(t *testing.T) {
	issuer := newAuthority(t)
	cases := []struct {
		name    string
		address net.IP
		wantOK  bool
	}{
		{"dialled address", net.IPv4(127, 0, 0, 1), true},
		{"other address", net.IPv4(127, 0, 0, 9), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, newSource(t, issuer.writeFor(t, t.TempDir(), test.address)))
			err := get(newClient(t, newSource(t, issuer.write(t, t.TempDir())).ClientConfig()), server.URL)
			if (err == nil) != test.wantOK {
				t.Errorf("request error %v, want success: %v", err, test.wantOK)
			}
		})
	}
}
