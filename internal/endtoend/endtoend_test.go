// Package endtoend tests the programs as separate processes on free ports.
package endtoend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/daemon"
	"github.com/doorpond/doorpond/testdata"
)

const (
	moduleRoot = "../.."
	// waitTimeout limits each wait. It is generous because CI machines can be slow.
	waitTimeout  = 3 * time.Minute
	pollInterval = 20 * time.Millisecond
)

// binaries holds the paths of the programs under test.
type binaries struct {
	daemon, operator, lab string
}

func buildBinaries(t *testing.T) binaries {
	t.Helper()
	directory := t.TempDir()
	command := exec.Command("go", "build", "-o", directory, "./cmd/...")
	command.Dir = moduleRoot
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binaries{
		daemon:   filepath.Join(directory, "doorpondd"),
		operator: filepath.Join(directory, "doorpond"),
		lab:      filepath.Join(directory, "doorpond-lab"),
	}
}

// process is a running program and its standard output.
type process struct {
	command *exec.Cmd
	output  io.ReadCloser
}

func startProcess(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	command := exec.Command(name, arguments...)
	command.Stderr = t.Output()
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if command.ProcessState == nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	})
	return &process{command: command, output: output}
}

// stop sends SIGTERM and expects exit code 0.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.command.Wait(); err != nil {
		t.Errorf("%s: %v", p.command.Path, err)
	}
}

type platformAddresses struct {
	StoreURL    string `json:"store_url"`
	MachinesURL string `json:"machines_url"`
}

func startPlatform(t *testing.T, programs binaries) platformAddresses {
	t.Helper()
	started := startProcess(t, programs.lab, "platform")
	line, err := bufio.NewReader(started.output).ReadBytes('\n')
	if err != nil {
		t.Fatalf("read the platform's addresses: %v", err)
	}
	var addresses platformAddresses
	if err := json.Unmarshal(line, &addresses); err != nil {
		t.Fatal(err)
	}
	return addresses
}

func startDaemon(t *testing.T, programs binaries, platform platformAddresses, zone, seed string) (*process, daemon.Addresses) {
	t.Helper()
	ready := filepath.Join(t.TempDir(), "ready.json")
	started := startProcess(t, programs.daemon, "--region", "accra", "--zone", zone,
		"--store-url", platform.StoreURL, "--machines-url", platform.MachinesURL,
		"--callers-address", "127.0.0.1:0", "--peers-address", "127.0.0.1:0", "--administration-address", "127.0.0.1:0",
		"--peers-seeds", seed, "--stop-grace", "100ms", "--ready-file", ready)
	var addresses daemon.Addresses
	waitFor(t, "the daemon's addresses", func() bool {
		content, err := os.ReadFile(ready)
		return err == nil && json.Unmarshal(content, &addresses) == nil
	})
	return started, addresses
}

// waitFor polls until condition returns true, and fails the test on timeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("timed out waiting for %s", description)
		case <-time.After(pollInterval):
		}
	}
}

// waitUntilReady waits until the readiness endpoint of a daemon returns 200.
func waitUntilReady(t *testing.T, addresses daemon.Addresses) {
	t.Helper()
	waitFor(t, "the daemon to be ready", func() bool {
		response, err := http.Get("http://" + addresses.Administration + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// runOperator runs the operator CLI and returns its output and exit code.
func runOperator(t *testing.T, programs binaries, addresses daemon.Addresses, arguments ...string) (string, int) {
	t.Helper()
	command := exec.Command(programs.operator, arguments...)
	command.Env = append(os.Environ(), "DOORPOND_ADMIN="+addresses.Administration,
		"DOORPOND_DAEMON="+addresses.Callers, "DOORPOND_AUTHOR=ama")
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(output), command.ProcessState.ExitCode()
}

func mustRunOperator(t *testing.T, programs binaries, addresses daemon.Addresses, arguments ...string) string {
	t.Helper()
	output, code := runOperator(t, programs, addresses, arguments...)
	if code != 0 {
		t.Fatalf("doorpond %s: exit code %d\n%s", strings.Join(arguments, " "), code, output)
	}
	return output
}

func TestDaemonsServeEditedPolicyAndStop(t *testing.T) {
	programs := buildBinaries(t)
	platform := startPlatform(t, programs)
	first, firstAddresses := startDaemon(t, programs, platform, "accra-a", "")
	second, secondAddresses := startDaemon(t, programs, platform, "accra-b", firstAddresses.Peers)
	waitFor(t, "the daemons to discover each other", func() bool {
		output, code := runOperator(t, programs, firstAddresses, "status")
		return code == 0 && strings.Contains(output, "2 daemons answer")
	})
	mustRunOperator(t, programs, firstAddresses, "apply", "-f", filepath.Join(moduleRoot, "examples", "policies.yaml"), "--wait", "30s")
	waitUntilReady(t, firstAddresses)
	waitUntilReady(t, secondAddresses)
	records, err := corpus.Load(testdata.Corpus)
	if err != nil {
		t.Fatal(err)
	}
	callers := client.New("http://"+secondAddresses.Callers, nil)
	revision := checkAnswers(t, callers, records)
	mustRunOperator(t, programs, firstAddresses, "policy", "set", "thorough", "wait.timeout=3s", "--wait", "30s")
	if edited := checkAnswers(t, callers, records); edited != revision+1 {
		t.Errorf("answers use table revision %d after an edit of revision %d", edited, revision)
	}
	checkCallRunsOnce(t, programs, firstAddresses, secondAddresses)
	first.stop(t)
	checkAnswers(t, callers, records)
	second.stop(t)
}

// checkAnswers compares the daemon's answers with a direct search of the corpus
// and returns the policy table revision of the last answer.
func checkAnswers(t *testing.T, callers *client.Client, records []corpus.Record) uint64 {
	t.Helper()
	var revision uint64
	for _, query := range []client.Query{
		{Group: "clerks", Corpus: corpus.Cards, Card: "AY-1185"},
		{Group: "clerks", Corpus: corpus.Cards, Phrase: "balance moved", Limit: 3},
		{Group: "clerks", Corpus: corpus.Cues, Phrase: "the"},
		{Group: "clerks", Corpus: corpus.Cues, Phrase: "ቡና", Order: client.OrderTime},
		{Group: "clerks", Corpus: corpus.Cues, Phrase: "no such phrase anywhere"},
	} {
		answer, err := callers.Query(t.Context(), query)
		if err != nil {
			t.Fatalf("%+v: %v", query, err)
		}
		want := corpus.Search(records, query)
		if diff := cmp.Diff(want, answer.Hits, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%+v: hits (-direct +daemon):\n%s", query, diff)
		}
		if answer.Coverage.Share != 1 {
			t.Errorf("%+v: coverage %+v", query, answer.Coverage)
		}
		revision = answer.TableRevision
	}
	return revision
}

// checkCallRunsOnce sends the same call through both daemons and expects the
// second to return the stored result.
func checkCallRunsOnce(t *testing.T, programs binaries, first, second daemon.Addresses) {
	t.Helper()
	arguments := []string{"--output", "json", "call", "--group", "clerks", "--key", "refund-1", "--service", "refund", "--operation", "credit"}
	var results [2]client.CallResult
	for i, addresses := range []daemon.Addresses{first, second} {
		output := mustRunOperator(t, programs, addresses, arguments...)
		if err := json.Unmarshal([]byte(output), &results[i]); err != nil {
			t.Fatalf("%v in %s", err, output)
		}
	}
	if results[0].Repeated || !results[1].Repeated {
		t.Errorf("repeated: %v, then %v", results[0].Repeated, results[1].Repeated)
	}
	if diff := cmp.Diff(string(results[0].Result), string(results[1].Result)); diff != "" {
		t.Errorf("result of the repeated call differs (-first +second):\n%s", diff)
	}
}

func TestConfigCheckRejectsUnknownField(t *testing.T) {
	programs := buildBinaries(t)
	path := filepath.Join(t.TempDir(), "doorpondd.yaml")
	if err := os.WriteFile(path, []byte("region: accra\nzone: accra-a\ncolour: red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(programs.daemon, "config", "check", path)
	output, err := command.CombinedOutput()
	if err == nil || command.ProcessState.ExitCode() != 2 {
		t.Errorf("exit code %d, error %v", command.ProcessState.ExitCode(), err)
	}
	if want := path + `:3: colour: unknown field "colour"`; !strings.Contains(string(output), want) {
		t.Errorf("output %q does not contain %q", output, want)
	}
}
