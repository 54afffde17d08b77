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

// authority issues certificates for tests.
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

// write puts a new certificate, its key and the authority into a directory.
func (a *authority) write(t *testing.T, directory string) certificates.Files {
	t.Helper()
	return a.writeFor(t, directory, net.IPv4(127, 0, 0, 1))
}

// writeFor is write with a certificate that names another address.
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
		works  bool
	}{
		{"certificate of the authority", newSource(t, trusted.write(t, t.TempDir())).ClientConfig(), true},
		{"certificate of another authority", newSource(t, other.write(t, t.TempDir())).ClientConfig(), false},
		{"no certificate", newSource(t, certificates.Files{Authority: trusted.write(t, t.TempDir()).Authority}).ClientConfig(), false},
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
	open := newClient(t, clientSource.ClientConfig())
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
	if err := get(newClient(t, clientSource.ClientConfig()), server.URL); err == nil {
		t.Error("a new connection with the old authority was accepted")
	}
	second.write(t, clientDirectory)
	if _, err := clientSource.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := get(newClient(t, clientSource.ClientConfig()), server.URL); err != nil {
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
	if err := get(newClient(t, source.ClientConfig()), serve(t, source).URL); err != nil {
		t.Errorf("the material in use was lost: %v", err)
	}
}

func TestServerMustNameTheAddressThatWasDialled(t *testing.T) {
	issuer := newAuthority(t)
	cases := []struct {
		name    string
		address net.IP
		works   bool
	}{
		{"the address dialled", net.IPv4(127, 0, 0, 1), true},
		{"another address", net.IPv4(127, 0, 0, 9), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, newSource(t, issuer.writeFor(t, t.TempDir(), test.address)))
			err := get(newClient(t, newSource(t, issuer.write(t, t.TempDir())).ClientConfig()), server.URL)
			if (err == nil) != test.works {
				t.Errorf("request error %v; wanted it to work: %v", err, test.works)
			}
		})
	}
}
