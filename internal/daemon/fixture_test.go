package daemon

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/certificates/certificatestest"
	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/machinelist"
	"github.com/doorpond/doorpond/internal/standin/platform"
	"github.com/doorpond/doorpond/testdata"
)

const anyPort = "127.0.0.1:0"

// Long enough that a daemon that is not scheduled for a few seconds is neither considered
// dead by its peers nor loses the store.
const (
	membershipPeriod = 300 * time.Millisecond
	storeTimeout     = 20 * time.Second
)

func startPlatform(t *testing.T) *platform.Platform {
	t.Helper()
	running, err := platform.Start(context.Background(), platform.DefaultConfig(testdata.Corpus))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = running.Close() })
	return running
}

// startDaemon starts a daemon in this process and waits until it is ready except for the
// policy table. The returned function shuts it down gracefully; the end of the test stops it
// immediately.
func startDaemon(t *testing.T, running *platform.Platform, others []*Daemon, change func(*settings.Settings)) (*Daemon, func()) {
	t.Helper()
	config := settings.Default()
	config.Region, config.Zone = "accra", "accra-a"
	config.Callers.Address, config.Peers.Address, config.Administration.Address = anyPort, anyPort, anyPort
	config.Store.URL, config.Machines.URL = running.StoreURL(), running.MachinesURL()
	config.Machines.Interval = 100 * time.Millisecond
	config.Membership.Period = membershipPeriod
	config.Store.Timeout = storeTimeout
	config.Stop.Grace = 10 * time.Millisecond
	for _, other := range others {
		config.Peers.Seeds = append(config.Peers.Seeds, other.Addresses().Peers)
	}
	change(&config)
	started, err := New(Options{Settings: config, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- started.Run(ctx, abort) }()
	shutdown := func() {
		stop()
		if err := <-result; err != nil {
			t.Errorf("run: %v", err)
		}
		result <- nil
	}
	t.Cleanup(func() {
		cancelAbort()
		shutdown()
	})
	eventually(t, "daemon has catalogue and replicas", func() bool {
		return started.board.Catalogue.Load() != nil && started.board.Replicas.Load() != nil
	})
	return started, shutdown
}

func unchanged(*settings.Settings) {}

// commandResult is the exit code and output of a command.
type commandResult struct {
	code int
	text string
}

// runCommand runs an operator command against a daemon.
func runCommand(t *testing.T, daemon *Daemon, arguments ...string) commandResult {
	t.Helper()
	var out bytes.Buffer
	command := operator.New(operator.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
	line := append([]string{"doorpond", "--admin", daemon.Addresses().Administration, "--daemon", daemon.Addresses().Callers}, arguments...)
	code := operator.ExitCode(command.Run(t.Context(), line), &out)
	return commandResult{code: code, text: out.String()}
}

// expectCommand runs an operator command and checks its exit code and output.
func expectCommand(t *testing.T, daemon *Daemon, code int, contains, line string, more ...string) commandResult {
	t.Helper()
	got := runCommand(t, daemon, append(strings.Fields(line), more...)...)
	if got.code != code || !strings.Contains(got.text, contains) {
		t.Fatalf("%s: exit code %d, want %d and output with %q:\n%s", line, got.code, code, contains, got.text)
	}
	return got
}

// eventually waits until a condition holds. The timeout is long enough for a slow machine.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	within(t, time.Minute, condition, holds)
}

func within(t *testing.T, timeout time.Duration, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", condition, timeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func waitForMembers(t *testing.T, count int, daemons ...*Daemon) {
	t.Helper()
	for _, daemon := range daemons {
		eventually(t, "all daemons are members", func() bool {
			members := daemon.board.Members.Load()
			return members != nil && len(members.Members) == count
		})
	}
}

func newAuthority(t *testing.T) *certificatestest.Authority {
	t.Helper()
	authority, err := certificatestest.New()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func issueFiles(t *testing.T, authority *certificatestest.Authority, directory string) certificates.Files {
	t.Helper()
	files, err := authority.Write(directory, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// getPage returns a page of the administration server.
func getPage(t *testing.T, daemon *Daemon, path string) string {
	t.Helper()
	response, err := http.Get("http://" + daemon.Addresses().Administration + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// machineEntry returns a back end's machine list entry with another address.
func machineEntry(server *backend.Server, address string) machinelist.Machine {
	options := server.Replica.Options()
	return machinelist.Machine{Address: address, Labels: map[string]string{
		machines.LabelRole: machines.RoleBackend, machines.LabelGroup: options.Group,
		machines.LabelRegion: options.Place.Region, machines.LabelZone: options.Place.Zone,
		machines.LabelIncarnation: options.Incarnation, machines.LabelSlots: strconv.Itoa(options.Slots),
		machines.LabelConnections: strconv.Itoa(options.ConnectionLimit),
	}}
}
