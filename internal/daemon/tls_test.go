package daemon

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/certificates/certificatestest"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/settings"
)

// withTLS uses the same TLS files on all listeners of a daemon.
func withTLS(files certificates.Files) func(*settings.Settings) {
	return func(s *settings.Settings) {
		s.Callers.TLS, s.Peers.TLS, s.Administration.TLS = files, files, files
	}
}

// tlsFlags returns the flags of operator commands.
func tlsFlags(files certificates.Files) []string {
	return []string{"--ca", files.Authority, "--certificate", files.Certificate, "--certificate-key", files.Key}
}

func TestMutualTLS(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	authority := newAuthority(t)
	first, _ := startDaemon(t, running, nil, withTLS(issueFiles(t, authority, t.TempDir())))
	second, _ := startDaemon(t, running, []*Daemon{first}, withTLS(issueFiles(t, authority, t.TempDir())))
	waitForMembers(t, 2, first, second)
	flags := tlsFlags(issueFiles(t, authority, t.TempDir()))
	run := func(line ...string) commandResult { return runCommand(t, first, append(flags, line...)...) }

	got := run("policy", "set", "fast", "priority=high", "--author", "ama", "--wait", "30s")
	if got.code != operator.ExitOK || !regexp.MustCompile("in force on all 2 daemons").MatchString(got.text) {
		t.Fatal(got)
	}
	if got := run("assign", "editors", "fast", "--author", "ama"); got.code != operator.ExitOK {
		t.Fatal(got)
	}
	if got := run("query", "--group", "editors", "--corpus", "cues", "good"); got.code != operator.ExitOK {
		t.Fatal(got)
	}
	if got := run("compare", "fast", "fast"); got.code != operator.ExitOK {
		t.Fatal(got)
	}
}

func TestUntrustedClientsRejected(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	authority, other := newAuthority(t), newAuthority(t)
	daemon, _ := startDaemon(t, running, nil, withTLS(issueFiles(t, authority, t.TempDir())))
	untrusted := issueFiles(t, other, t.TempDir())
	trusted := issueFiles(t, authority, t.TempDir())
	addresses := daemon.Addresses()
	cases := []struct {
		name, address string
		files         certificates.Files
		accepted      bool
	}{
		{"trusted peer", addresses.Peers, trusted, true},
		{"peer of another authority", addresses.Peers, certificates.Files{Certificate: untrusted.Certificate, Key: untrusted.Key, Authority: trusted.Authority}, false},
		{"peer without certificate", addresses.Peers, certificates.Files{Authority: trusted.Authority}, false},
		{"caller without certificate", addresses.Callers, certificates.Files{Authority: trusted.Authority}, false},
		{"operator without certificate", addresses.Administration, certificates.Files{Authority: trusted.Authority}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			source, err := certificates.NewSource(test.files)
			if err != nil {
				t.Fatal(err)
			}
			transport := &http.Transport{DialTLSContext: certificates.DialTLS(source.ClientConfig(), (&net.Dialer{}).DialContext)}
			defer transport.CloseIdleConnections()
			response, err := (&http.Client{Transport: transport}).Get("https://" + test.address + "/")
			if err == nil {
				response.Body.Close()
			}
			if (err == nil) != test.accepted {
				t.Errorf("request error %v, want accepted %t", err, test.accepted)
			}
		})
	}
	eventually(t, "rejected connections are counted", func() bool {
		metrics, err := daemon.registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		total := 0.0
		for _, family := range metrics {
			if family.GetName() == "doorpondd_connection_errors_total" {
				for _, metric := range family.GetMetric() {
					total += metric.GetCounter().GetValue()
				}
			}
		}
		return total == 4
	})
	checkUntrustedDaemonRejected(t, running.StoreURL(), running.MachinesURL(), daemon, untrusted)
}

// checkUntrustedDaemonRejected checks that a daemon of another authority cannot exchange
// messages with a member.
func checkUntrustedDaemonRejected(t *testing.T, storeURL, machinesURL string, daemon *Daemon, untrusted certificates.Files) {
	t.Helper()
	source, err := certificates.NewSource(untrusted)
	if err != nil {
		t.Fatal(err)
	}
	config := settings.Default()
	config.Region, config.Zone, config.Store.URL, config.Machines.URL = "accra", "accra-a", storeURL, machinesURL
	config.Callers.Address, config.Peers.Address, config.Administration.Address = anyPort, anyPort, anyPort
	joining, err := New(Options{Settings: config, Logger: daemon.logger})
	if err != nil {
		t.Fatal(err)
	}
	defer joining.listeners.close()
	connection, err := certificates.DialTLS(source.ClientConfig(), (&net.Dialer{}).DialContext)(t.Context(), "tcp", daemon.Addresses().Peers)
	if err == nil {
		connection.Close()
		t.Error("daemon of another authority connected to the peer")
	}
	if _, err := joining.peers.State(t.Context(), daemon.Addresses().Peers); err == nil {
		t.Error("peer with TLS answered a daemon without TLS")
	}
}

func TestCertificateReloadUnderLoad(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	old, renewed := newAuthority(t), newAuthority(t)
	directory := t.TempDir()
	daemon, _ := startDaemon(t, running, nil, withTLS(issueFiles(t, old, directory)))
	flags := tlsFlags(issueFiles(t, old, t.TempDir()))
	for _, line := range [][]string{{"policy", "set", "fast", "wait.timeout=20s", "--author", "ama"}, {"assign", "editors", "fast", "--author", "ama"}} {
		if got := runCommand(t, daemon, append(flags, line...)...); got.code != operator.ExitOK {
			t.Fatal(got)
		}
	}
	// callers trust both authorities and present a certificate of the current one
	callers := [2]*certificates.Source{newCallerSource(t, old, old, renewed), newCallerSource(t, renewed, old, renewed)}
	var current atomic.Int32
	var group errgroup.Group
	const workers, before, after = 4, 50, 50
	var reloaded = make(chan struct{})
	var waiting atomic.Int32
	for range workers {
		group.Go(func() error {
			for i := range before + after {
				if i == before {
					waiting.Add(1)
					<-reloaded
				}
				if err := queryOnce(t, daemon, callers[current.Load()]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	eventually(t, "all callers have sent requests", func() bool { return waiting.Load() == workers })
	issueFiles(t, renewed, directory)
	for _, source := range []*certificates.Source{daemon.tls.callersSource, daemon.tls.peersSource, daemon.tls.administrationSource} {
		if changed, err := source.Reload(); !changed || err != nil {
			t.Fatalf("reload: changed %t, %v", changed, err)
		}
	}
	current.Store(1)
	close(reloaded)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// newCallerSource returns a source with a certificate of issuer that trusts all given
// authorities.
func newCallerSource(t *testing.T, issuer *certificatestest.Authority, trusted ...*certificatestest.Authority) *certificates.Source {
	t.Helper()
	files := issueFiles(t, issuer, t.TempDir())
	var bundle []byte
	for _, authority := range trusted {
		content, err := os.ReadFile(issueFiles(t, authority, t.TempDir()).Authority)
		if err != nil {
			t.Fatal(err)
		}
		bundle = append(bundle, content...)
	}
	if err := os.WriteFile(files.Authority, bundle, 0o600); err != nil {
		t.Fatal(err)
	}
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// queryOnce sends a query over a new connection.
func queryOnce(t *testing.T, daemon *Daemon, source *certificates.Source) error {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, DialTLSContext: certificates.DialTLS(source.ClientConfig(), (&net.Dialer{}).DialContext)}
	callers := client.New("https://"+daemon.Addresses().Callers, &http.Client{Transport: transport})
	_, err := callers.Query(t.Context(), client.Query{Group: "editors", Corpus: "cues", Phrase: "good"})
	return err
}

func TestBackendsOverTLS(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	authority := newAuthority(t)
	files := issueFiles(t, authority, t.TempDir())
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	for _, server := range running.Backends() {
		proxied := startTLSProxy(t, source, server.Address)
		running.Machines.Remove(server.Address)
		running.Machines.Add(machineEntry(server, proxied))
	}
	secure, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Backends.TLS = files })
	expectCommand(t, secure, operator.ExitOK, "revision 1", "policy set fast wait.timeout=20s --author ama")
	expectCommand(t, secure, operator.ExitOK, "revision 2", "assign default fast --author ama")
	expectCommand(t, secure, operator.ExitOK, "(100.0%)", "query --corpus cues good")
	expectCommand(t, secure, operator.ExitOK, "executions", "call --key k --service refund --operation credit")

	plain, _ := startDaemon(t, running, nil, unchanged)
	eventually(t, "daemon without TLS is ready", func() bool { return plain.board.PolicyTable.Load() != nil && plain.board.Replicas.Load() != nil })
	if got := runCommand(t, plain, "query", "--corpus", "cues", "good", "--least-coverage", "0.1"); got.code == operator.ExitOK {
		t.Errorf("query without TLS to back ends succeeded: %s", got.text)
	}
}

func TestStoreOverTLS(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	files := issueFiles(t, newAuthority(t), t.TempDir())
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	proxied := "https://" + startTLSProxy(t, source, strings.TrimPrefix(running.StoreURL(), "http://"))
	// startDaemon waits for the catalogue, which it can only read from the store
	secure, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Store.URL, s.Store.TLS = proxied, files })
	expectCommand(t, secure, operator.ExitOK, "revision 1", "policy set fast priority=high --author ama")
	expectCommand(t, secure, operator.ExitOK, "executions", "call --key k --service refund --operation credit")
	if _, err := running.Publish("cues", 3); err != nil {
		t.Fatal(err)
	}
	eventually(t, "new snapshot is received by the watch", func() bool {
		return secure.board.Catalogue.Load().Corpus("cues").Newest().ID == 2
	})

	untrusted := issueFiles(t, newAuthority(t), t.TempDir())
	other, _ := startDaemon(t, running, []*Daemon{secure}, func(s *settings.Settings) { s.Store.URL, s.Store.TLS = proxied, untrusted })
	got := runCommand(t, other, "policy", "set", "slow", "priority=high", "--author", "ama")
	if got.code != operator.ExitUnavailable || !strings.Contains(got.text, string(failure.StoreUnavailable)) {
		t.Errorf("certificate of another authority: exit code %d: %s", got.code, got.text)
	}
}

// startTLSProxy starts a TLS proxy for a plain-text server and returns its address.
func startTLSProxy(t *testing.T, source *certificates.Source, target string) string {
	t.Helper()
	listener, err := tls.Listen("tcp", anyPort, source.ServerConfig("http/1.1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			incoming, err := listener.Accept()
			if err != nil {
				return
			}
			go proxyConnection(incoming, target)
		}
	}()
	return listener.Addr().String()
}

// proxyConnection forwards a connection to the target.
func proxyConnection(incoming net.Conn, target string) {
	defer incoming.Close()
	outgoing, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer outgoing.Close()
	go func() {
		_, _ = io.Copy(outgoing, incoming) // ends when either connection is closed
		_ = outgoing.Close()
	}()
	_, _ = io.Copy(incoming, outgoing)
}
