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

// Build compiles doorpondd into a directory and returns the program's path. It
// runs the go command, which must be in the path, inside the module.
func Build(ctx context.Context, directory string) (string, error) {
	program := filepath.Join(directory, "doorpondd")
	command := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/doorpond/doorpond/cmd/doorpondd")
	output, err := command.CombinedOutput()
	return program, eris.Wrapf(err, "build doorpondd: %s", output)
}

// Process is one doorpondd that runs as a process of its own.
type Process struct {
	// Addresses are where it listens.
	Addresses daemon.Addresses

	command *exec.Cmd
	log     *lineLog
	exited  chan struct{}
	failure error
	once    sync.Once
}

// lineLog keeps what a process wrote to standard error.
type lineLog struct {
	mutex   sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (l *lineLog) Write(content []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.content.Write(content)
}

// String returns everything that was written.
func (l *lineLog) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.content.String()
}

// startProcess starts a daemon and waits until its ports are open.
func startProcess(ctx context.Context, program, readyFile string, arguments []string) (*Process, error) {
	if err := os.Remove(readyFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(err, "remove an old ready file")
	}
	process := &Process{
		command: exec.Command(program, append([]string{"--ready-file", readyFile}, arguments...)...),
		log:     &lineLog{},
		exited:  make(chan struct{}),
	}
	process.command.Stderr = process.log
	if err := process.command.Start(); err != nil {
		return nil, eris.Wrap(err, "start doorpondd")
	}
	go func() {
		process.failure = process.command.Wait()
		close(process.exited)
	}()
	err := await(ctx, "the daemon's ports to open", func() (bool, error) {
		select {
		case <-process.exited:
			return false, eris.Errorf("doorpondd ended at once: %s", process.log)
		default:
			return readAddresses(readyFile, &process.Addresses), nil
		}
	})
	if err != nil {
		process.Kill()
		return nil, err
	}
	return process, nil
}

func readAddresses(path string, into *daemon.Addresses) bool {
	content, err := os.ReadFile(path)
	return err == nil && json.Unmarshal(content, into) == nil
}

func (p *Process) callersURL() string { return "http://" + p.Addresses.Callers }

// Stop asks for the planned stop and does not wait for it.
func (p *Process) Stop() error { return p.signal(syscall.SIGTERM) }

// Freeze stops the process in its tracks until Resume.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process run on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(number syscall.Signal) error {
	return eris.Wrapf(p.command.Process.Signal(number), "send %s to doorpondd", number)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	p.once.Do(func() { _ = p.command.Process.Kill() }) // it fails only for one that has ended
	<-p.exited
}

// Wait waits until the process has ended and returns why, nil for exit code 0.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return eris.Wrapf(p.failure, "doorpondd: %s", p.log)
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for doorpondd to end")
	}
}

// alive tells whether the process has not ended.
func (p *Process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Log returns what the process has written to standard error.
func (p *Process) Log() string { return p.log.String() }

// pollInterval is the pause between two looks at a condition.
const pollInterval = 5 * time.Millisecond

// await looks at a condition again and again until it holds, fails or ctx
// ends.
func await(ctx context.Context, what string, holds func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		done, err := holds()
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
