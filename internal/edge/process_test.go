package edge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/platform"
	"github.com/doorpond/doorpond/platform/standin"
)

// settingsVariable is the environment variable that makes the test's program run a node with the
// settings that it holds.
const settingsVariable = "DOORPOND_TEST_NODE"

func TestMain(m *testing.M) {
	if settings := os.Getenv(settingsVariable); settings != "" {
		if err := runNode(settings); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runNode runs a node until SIGTERM, and prints its addresses.
func runNode(encoded string) error {
	var settings edge.Settings
	if err := json.Unmarshal([]byte(encoded), &settings); err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	node, err := edge.New(edge.Options{Settings: settings, Platform: platform.New(settings)})
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(node.Addresses()); err != nil {
		return err
	}
	return node.Run(ctx)
}

// nodeProcess is a node in a process of its own, which can be paused while its callers, replicas
// and store go on.
type nodeProcess struct {
	t         *testing.T
	command   *exec.Cmd
	addresses edge.Addresses
}

// startProcess starts a node of a deployment and waits until it is ready.
func startProcess(t *testing.T, deployment *standin.Deployment, grace time.Duration) *nodeProcess {
	t.Helper()
	settings := deployment.NodeSettings("p0", "a")
	settings.Bounds.Grace = grace
	encoded, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), settingsVariable+"="+string(encoded))
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p := &nodeProcess{t: t, command: command}
	t.Cleanup(func() {
		_ = command.Process.Kill() // fails if it has exited
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(line, &p.addresses); err != nil {
		t.Fatal(err)
	}
	s := &system{t: t, caller: &standin.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}}
	s.eventually("the node is ready", func() bool { return s.get(p.addresses.Readiness, standin.ReadyPath) == http.StatusOK })
	return p
}

func (p *nodeProcess) signal(number syscall.Signal) {
	if err := p.command.Process.Signal(number); err != nil {
		p.t.Error(err)
	}
}

func (p *nodeProcess) pause(lasting time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasting)
	p.signal(syscall.SIGCONT)
}

// newCaller returns a caller that uses the node only, on one connection.
func (p *nodeProcess) newCaller() *standin.Client {
	caller := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Method: http.MethodPost}
	caller.Pin(p.addresses.Callers)
	return caller
}

// The shape of the deployment of the tests below: requests take 40 ms.
var pausedShape = standin.Options{
	Zones: zones, Shards: shards, ProcessingTime: 40 * time.Millisecond, Objective: 5 * time.Second, Timeout: 10 * time.Second,
}

const pausedGrace = 2 * time.Second

// A node that is paused while it shuts down must pass on the answers that lie ready when it
// resumes, also if the time for them has passed.
func TestShutdownPassesAnswersOnAfterPause(t *testing.T) {
	const (
		callers     = 8
		sendAfter   = 500 * time.Millisecond
		pausedAfter = 30 * time.Millisecond // after that
	)
	for _, pauses := range [][]time.Duration{nil, {1500 * time.Millisecond}, {3 * time.Second}, {1300 * time.Millisecond, 1200 * time.Millisecond}} {
		t.Run(fmt.Sprint(pauses), func(t *testing.T) {
			deployment, err := standin.Start(pausedShape)
			if err != nil {
				t.Fatal(err)
			}
			defer deployment.Close()
			node := startProcess(t, deployment, pausedGrace)
			node.signal(syscall.SIGTERM)
			time.Sleep(sendAfter)
			var sending sync.WaitGroup
			for number := range callers {
				sending.Go(func() {
					response, err := node.newCaller().Send(context.Background(), fmt.Sprint("a", number), standin.ScatteredPath, 10*time.Second)
					if err != nil || response.Status != http.StatusOK {
						t.Errorf("status %d, error %v", response.Status, err)
					}
				})
			}
			time.Sleep(pausedAfter)
			for _, lasting := range pauses {
				node.pause(lasting)
				time.Sleep(5 * time.Millisecond)
			}
			sending.Wait()
		})
	}
}

// A node that is paused while it shuts down must answer the requests that came meanwhile on open
// connections before it closes these.
func TestShutdownReadsRequestsAfterPause(t *testing.T) {
	const (
		callers     = 6
		pausedAfter = 900 * time.Millisecond // before the port is closed
		firstPause  = 300 * time.Millisecond // until after it
		gap         = 30 * time.Millisecond
		nextPause   = 1200 * time.Millisecond
		sendAfter   = 400 * time.Millisecond // into the next pause
	)
	for run := range 3 {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			deployment, err := standin.Start(pausedShape)
			if err != nil {
				t.Fatal(err)
			}
			defer deployment.Close()
			node := startProcess(t, deployment, pausedGrace)
			open := make([]*standin.Client, callers)
			for i := range open {
				open[i] = node.newCaller()
				if _, err := open[i].Send(t.Context(), fmt.Sprint("first", i), standin.ScatteredPath, 10*time.Second); err != nil {
					t.Fatal(err)
				}
			}
			node.signal(syscall.SIGTERM)
			time.Sleep(pausedAfter)
			node.pause(firstPause)
			time.Sleep(gap)
			var sending sync.WaitGroup
			for i, caller := range open {
				sending.Go(func() {
					time.Sleep(sendAfter)
					caller.Pin(node.addresses.Callers)
					if _, err := caller.Send(context.Background(), fmt.Sprint("r", i), standin.ScatteredPath, 10*time.Second); err != nil {
						t.Errorf("request without an answer: %v", err)
					}
				})
			}
			node.pause(nextPause)
			sending.Wait()
		})
	}
}

// A node that is paused beyond the end of its grace period must give the requests that arrived
// meanwhile the time that their replicas need: they have been read only since.
func TestShutdownServesRequestsOfPause(t *testing.T) {
	const (
		callers     = 8
		pausedAfter = 500 * time.Millisecond
		pause       = 3 * time.Second
	)
	shape := pausedShape
	shape.ProcessingTime = 200 * time.Millisecond
	deployment, err := standin.Start(shape)
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.Close()
	node := startProcess(t, deployment, pausedGrace)
	node.signal(syscall.SIGTERM)
	time.Sleep(pausedAfter)
	node.signal(syscall.SIGSTOP)
	var sending sync.WaitGroup
	for number := range callers {
		sending.Go(func() {
			response, err := node.newCaller().Send(context.Background(), fmt.Sprint("d", number), standin.ScatteredPath, 10*time.Second)
			if err != nil || response.Status != http.StatusOK {
				t.Errorf("status %d, error %v", response.Status, err)
			}
		})
	}
	time.Sleep(pause)
	node.signal(syscall.SIGCONT)
	sending.Wait()
}

// A node that is paused late in the wait for its requests must read the replicas' answers that lie
// ready when it resumes, also if it resumes close to the end of its grace period.
func TestShutdownReadsAnswersAfterLatePause(t *testing.T) {
	const (
		callers   = 2
		grace     = 4 * time.Second
		sendAfter = 2 * time.Second // before the port is closed, at 2.2 s
		pauseAt   = 3100 * time.Millisecond
		pause     = 600 * time.Millisecond // past 0.87 of the grace period, not past its end
	)
	shape := pausedShape
	shape.ProcessingTime = 1200 * time.Millisecond // until after the pause's begin
	deployment, err := standin.Start(shape)
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.Close()
	node := startProcess(t, deployment, grace)
	node.signal(syscall.SIGTERM)
	time.Sleep(sendAfter)
	var sending sync.WaitGroup
	for number := range callers {
		sending.Go(func() {
			response, err := node.newCaller().Send(context.Background(), fmt.Sprint("l", number), standin.ScatteredPath, 10*time.Second)
			if err != nil || response.Status != http.StatusOK {
				t.Errorf("status %d, error %v", response.Status, err)
			}
		})
	}
	time.Sleep(pauseAt - sendAfter)
	node.pause(pause)
	sending.Wait()
}
