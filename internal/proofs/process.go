package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/daemon"
)

// Programs are the paths of the binaries that the proofs run.
type Programs struct {
	// Daemon is doorpondd.
	Daemon string
	// Lab is doorpond-lab, which runs the replicas.
	Lab string
}

// Build compiles the programs into directory. The go command must be in PATH, and the
// working directory inside the module.
func Build(ctx context.Context, directory string) (Programs, error) {
	programs := Programs{Daemon: filepath.Join(directory, "doorpondd"), Lab: filepath.Join(directory, "doorpond-lab")}
	for _, path := range []string{programs.Daemon, programs.Lab} {
		command := exec.CommandContext(ctx, "go", "build", "-o", path, "github.com/doorpond/doorpond/cmd/"+filepath.Base(path))
		if output, err := command.CombinedOutput(); err != nil {
			return Programs{}, eris.Wrapf(err, "build %s: %s", filepath.Base(path), output)
		}
	}
	return programs, nil
}

// Process is a running process of a cluster.
type Process struct {
	// Addresses are the listen addresses of a daemon.
	Addresses daemon.Addresses

	command *exec.Cmd
	log     *outputBuffer
	exited  chan struct{}
	failure error
	once    sync.Once
}

// outputBuffer collects the standard error of a process.
type outputBuffer struct {
	mutex   sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (l *outputBuffer) Write(content []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.content.Write(content)
}

func (l *outputBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.content.String()
}

// startDaemon starts a daemon and waits until its ports are open.
func startDaemon(ctx context.Context, program, readyFile string, arguments []string) (*Process, error) {
	var addresses daemon.Addresses
	process, err := startProcess(ctx, program, readyFile, arguments, &addresses)
	if err != nil {
		return nil, err
	}
	process.Addresses = addresses
	return process, nil
}

// startProcess starts a program and waits until it has written its ready file, which it
// decodes into ready.
func startProcess(ctx context.Context, program, readyFile string, arguments []string, ready any) (*Process, error) {
	if err := os.Remove(readyFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(err, "remove stale ready file")
	}
	process := &Process{
		command: exec.Command(program, append(arguments, "--ready-file", readyFile)...),
		log:     &outputBuffer{},
		exited:  make(chan struct{}),
	}
	process.command.Stderr = process.log
	if err := process.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	go func() {
		process.failure = process.command.Wait()
		close(process.exited)
	}()
	err := await(ctx, "the ports of "+filepath.Base(program)+" to open", func() (bool, error) {
		select {
		case <-process.exited:
			return false, eris.Errorf("%s exited during startup: %s", program, process.log)
		default:
			return readJSON(readyFile, ready), nil
		}
	})
	if err != nil {
		process.Kill()
		return nil, err
	}
	return process, nil
}

// readJSON returns false until the file is complete.
func readJSON(path string, into any) bool {
	content, err := os.ReadFile(path)
	return err == nil && json.Unmarshal(content, into) == nil
}

func (p *Process) callersURL() string { return "http://" + p.Addresses.Callers }

// Stop requests a graceful shutdown and does not wait for it.
func (p *Process) Stop() error { return p.signal(syscall.SIGTERM) }

// Freeze suspends the process until Resume.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(number syscall.Signal) error {
	return eris.Wrapf(p.command.Process.Signal(number), "send %s to %s", number, p.command.Path)
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.once.Do(func() { _ = p.command.Process.Kill() }) // fails only if the process has exited
	<-p.exited
}

// Wait waits for the process to exit. It returns nil for exit code 0.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return eris.Wrapf(p.failure, "doorpondd: %s", p.log)
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for doorpondd to exit")
	}
}

// alive reports whether the process has not exited.
func (p *Process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Log returns the standard error output of the process.
func (p *Process) Log() string { return p.log.String() }

// pollInterval is the delay between two evaluations of a condition.
const pollInterval = 5 * time.Millisecond

// await polls a condition until it holds, returns an error, or ctx is done.
func await(ctx context.Context, what string, condition func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		done, err := condition()
		if err != nil {
			return eris.Wrapf(err, "wait for %s", what)
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for %s", what)
		case <-ticker.C:
		}
	}
}
