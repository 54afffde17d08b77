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

// secured names the files of one daemon, used on all of its ports.
func secured(files certificates.Files) func(*settings.Settings) {
	return func(s *settings.Settings) {
		s.Callers.TLS, s.Peers.TLS, s.Administration.TLS = files, files, files
	}
}

// tlsFlags are the command line's.
func tlsFlags(files certificates.Files) []string {
	return []string{"--ca", files.Authority, "--certificate", files.Certificate, "--certificate-key", files.Key}
}

func TestDaemonsOperatorsAndCallersOverMutualTLS(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	authority := newAuthority(t)
	first, _ := startDaemon(t, running, nil, secured(issue(t, authority, t.TempDir())))
	second, _ := startDaemon(t, running, []*Daemon{first}, secured(issue(t, authority, t.TempDir())))
	awaitMembers(t, 2, first, second)
	flags := tlsFlags(issue(t, authority, t.TempDir()))
	secure := func(line ...string) outcome { return operate(t, first, append(flags, line...)...) }

	got := secure("policy", "set", "fast", "priority=high", "--author", "ama", "--wait", "30s")
	if got.code != operator.ExitOK || !regexp.MustCompile("in force on all 2 daemons").MatchString(got.text) {
		t.Fatal(got)
	}
	if got := secure("assign", "editors", "fast", "--author", "ama"); got.code != operator.ExitOK {
		t.Fatal(got)
	}
	if got := secure("query", "--group", "editors", "--corpus", "cues", "good"); got.code != operator.ExitOK {
		t.Fatal(got)
	}
	if got := secure("compare", "fast", "fast"); got.code != operator.ExitOK {
		t.Fatal(got)
	}
}

func TestStrangersAreRefusedAndCounted(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	authority, other := newAuthority(t), newAuthority(t)
	guarded, _ := startDaemon(t, running, nil, secured(issue(t, authority, t.TempDir())))
	stranger := issue(t, other, t.TempDir())
	known := issue(t, authority, t.TempDir())
	addresses := guarded.Addresses()
	cases := []struct {
		name, address string
		files         certificates.Files
		works         bool
	}{
		{"peer of the authority", addresses.Peers, known, true},
		{"peer of another authority", addresses.Peers, certificates.Files{Certificate: stranger.Certificate, Key: stranger.Key, Authority: known.Authority}, false},
		{"peer without certificate", addresses.Peers, certificates.Files{Authority: known.Authority}, false},
		{"caller without certificate", addresses.Callers, certificates.Files{Authority: known.Authority}, false},
		{"operator without certificate", addresses.Administration, certificates.Files{Authority: known.Authority}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			source, err := certificates.NewSource(test.files)
			if err != nil {
				t.Fatal(err)
			}
			transport := &http.Transport{DialTLSContext: certificates.DialTLS(source.Client(), (&net.Dialer{}).DialContext)}
			defer transport.CloseIdleConnections()
			response, err := (&http.Client{Transport: transport}).Get("https://" + test.address + "/")
			if err == nil {
				response.Body.Close()
			}
			if (err == nil) != test.works {
				t.Errorf("request error %v; wanted it to work: %t", err, test.works)
			}
		})
	}
	eventually(t, "the refusals are counted", func() bool {
		metrics, err := guarded.registry.Gather()
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
	startDaemonThatCannotJoin(t, running.StoreURL(), running.MachinesURL(), guarded, stranger)
}

// startDaemonThatCannotJoin checks that a daemon of another authority never
// becomes a member: its first exchange is refused.
func startDaemonThatCannotJoin(t *testing.T, storeURL, machinesURL string, guarded *Daemon, stranger certificates.Files) {
	t.Helper()
	source, err := certificates.NewSource(stranger)
	if err != nil {
		t.Fatal(err)
	}
	chosen := settings.Default()
	chosen.Region, chosen.Zone, chosen.Store.URL, chosen.Machines.URL = "accra", "accra-a", storeURL, machinesURL
	chosen.Callers.Address, chosen.Peers.Address, chosen.Administration.Address = anyPort, anyPort, anyPort
	joining, err := New(Options{Settings: chosen, Logger: guarded.logger})
	if err != nil {
		t.Fatal(err)
	}
	defer joining.listeners.close()
	connection, err := certificates.DialTLS(source.Client(), (&net.Dialer{}).DialContext)(t.Context(), "tcp", guarded.Addresses().Peers)
	if err == nil {
		connection.Close()
		t.Error("a daemon of another authority trusted the peer")
	}
	if _, err := joining.peers.State(t.Context(), guarded.Addresses().Peers); err == nil {
		t.Error("a daemon without TLS was answered by a peer with TLS")
	}
}

func TestCertificatesAreReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	old, renewed := newAuthority(t), newAuthority(t)
	directory := t.TempDir()
	loaded, _ := startDaemon(t, running, nil, secured(issue(t, old, directory)))
	flags := tlsFlags(issue(t, old, t.TempDir()))
	for _, line := range [][]string{{"policy", "set", "fast", "wait.timeout=20s", "--author", "ama"}, {"assign", "editors", "fast", "--author", "ama"}} {
		if got := operate(t, loaded, append(flags, line...)...); got.code != operator.ExitOK {
			t.Fatal(got)
		}
	}
	// callers trust both authorities and show a certificate of the one in use
	callers := [2]*certificates.Source{callerSource(t, old, old, renewed), callerSource(t, renewed, old, renewed)}
	var turned atomic.Int32
	var group errgroup.Group
	const workers, before, after = 4, 50, 50
	var replaced = make(chan struct{})
	var warm atomic.Int32
	for range workers {
		group.Go(func() error {
			for i := range before + after {
				if i == before {
					warm.Add(1)
					<-replaced
				}
				if err := ask(t, loaded, callers[turned.Load()]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	eventually(t, "the callers are under way", func() bool { return warm.Load() == workers })
	issue(t, renewed, directory)
	for _, source := range []*certificates.Source{loaded.security.callersSource, loaded.security.peersSource, loaded.security.administrationSource} {
		if changed, err := source.Reload(); !changed || err != nil {
			t.Fatalf("reload: changed %t, %v", changed, err)
		}
	}
	turned.Store(1)
	close(replaced)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// callerSource has a certificate of one authority and trusts two.
func callerSource(t *testing.T, issuer *certificatestest.Authority, trusted ...*certificatestest.Authority) *certificates.Source {
	t.Helper()
	files := issue(t, issuer, t.TempDir())
	var both []byte
	for _, one := range trusted {
		content, err := os.ReadFile(issue(t, one, t.TempDir()).Authority)
		if err != nil {
			t.Fatal(err)
		}
		both = append(both, content...)
	}
	if err := os.WriteFile(files.Authority, both, 0o600); err != nil {
		t.Fatal(err)
	}
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// ask sends one query over a connection of its own.
func ask(t *testing.T, of *Daemon, source *certificates.Source) error {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, DialTLSContext: certificates.DialTLS(source.Client(), (&net.Dialer{}).DialContext)}
	callers := client.New("https://"+of.Addresses().Callers, &http.Client{Transport: transport})
	_, err := callers.Query(t.Context(), client.Query{Group: "editors", Corpus: "cues", Phrase: "good"})
	return err
}

func TestBackendsOverTLS(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	authority := newAuthority(t)
	files := issue(t, authority, t.TempDir())
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	for _, server := range running.Backends() {
		proxied := secureProxy(t, source, server.Address)
		running.Machines.Remove(server.Address)
		running.Machines.Add(machineAt(server, proxied))
	}
	secure, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Backends.TLS = files })
	expect(t, secure, operator.ExitOK, "revision 1", "policy set fast wait.timeout=20s --author ama")
	expect(t, secure, operator.ExitOK, "revision 2", "assign default fast --author ama")
	expect(t, secure, operator.ExitOK, "(100.0%)", "query --corpus cues good")
	expect(t, secure, operator.ExitOK, "executions", "call --key k --service refund --operation credit")

	plain, _ := startDaemon(t, running, nil, unchanged)
	eventually(t, "the daemon without TLS is ready", func() bool { return plain.board.PolicyTable.Load() != nil && plain.board.Replicas.Load() != nil })
	if got := operate(t, plain, "query", "--corpus", "cues", "good", "--least-coverage", "0.1"); got.code == operator.ExitOK {
		t.Errorf("back ends answered without TLS: %s", got.text)
	}
}

func TestStoreOverTLS(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	files := issue(t, newAuthority(t), t.TempDir())
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	proxied := "https://" + secureProxy(t, source, strings.TrimPrefix(running.StoreURL(), "http://"))
	// startDaemon waits for the catalogue, which only the store has.
	secure, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Store.URL, s.Store.TLS = proxied, files })
	expect(t, secure, operator.ExitOK, "revision 1", "policy set fast priority=high --author ama")
	expect(t, secure, operator.ExitOK, "executions", "call --key k --service refund --operation credit")
	if _, err := running.Publish("cues", 3); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a new snapshot comes by the watch", func() bool {
		return secure.board.Catalogue.Load().Corpus("cues").Newest().ID == 2
	})

	stranger := issue(t, newAuthority(t), t.TempDir())
	other, _ := startDaemon(t, running, []*Daemon{secure}, func(s *settings.Settings) { s.Store.URL, s.Store.TLS = proxied, stranger })
	got := operate(t, other, "policy", "set", "slow", "priority=high", "--author", "ama")
	if got.code != operator.ExitUnavailable || !strings.Contains(got.text, string(failure.StoreUnavailable)) {
		t.Errorf("with another authority's certificate: code %d: %s", got.code, got.text)
	}
}

// secureProxy puts TLS in front of a back end or the store and returns its
// address.
func secureProxy(t *testing.T, source *certificates.Source, target string) string {
	t.Helper()
	listener, err := tls.Listen("tcp", anyPort, source.Server("http/1.1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			outside, err := listener.Accept()
			if err != nil {
				return
			}
			go splice(outside, target)
		}
	}()
	return listener.Addr().String()
}

// splice copies between a connection and a new one to the target.
func splice(outside net.Conn, target string) {
	defer outside.Close()
	inside, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer inside.Close()
	go func() {
		_, _ = io.Copy(inside, outside) // it ends with either connection
		_ = inside.Close()
	}()
	_, _ = io.Copy(outside, inside)
}
