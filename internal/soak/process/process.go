// Package process runs a node as a child process and controls it by signals.
package process

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Config configures a Process.
type Config struct {
	// Program and Args are the command line.
	Program string
	Args    []string
	// Log receives the output of all runs.
	Log *os.File
}

// Process is a program that can be restarted.
type Process struct {
	config Config

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// expected is true once the process was told to exit.
	expected bool
	failures []error
}

// New returns a Process that is not started.
func New(config Config) *Process { return &Process{config: config} }

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.config.Program, p.config.Args...)
	command.Stdout, command.Stderr = p.config.Log, p.config.Log
	// kill the process when its parent dies
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.config.Program)
	}
	p.command, p.exited, p.expected = command, make(chan struct{}), false
	go p.wait(command, p.exited)
	return nil
}

func (p *Process) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expected {
		p.failures = append(p.failures, eris.Errorf("ended by itself: %v", err))
	}
	close(exited)
}

// Signal sends a signal to the process.
func (p *Process) Signal(number syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number == syscall.SIGTERM || number == syscall.SIGKILL {
		p.expected = true
	}
	return eris.Wrapf(p.command.Process.Signal(number), "send %s", number)
}

// Wait waits until the process has exited or ctx is done.
func (p *Process) Wait(ctx context.Context) error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for process exit")
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL) // fails only if the process has exited
	_ = p.Wait(context.Background())
}

// Failures returns an error for each unexpected exit.
func (p *Process) Failures() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// Build compiles a command of this module into a directory and returns the
// binary's path.
func Build(ctx context.Context, directory, command string) (string, error) {
	program := directory + "/" + command
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/doorpond/doorpond/cmd/"+command)
	var output bytes.Buffer
	build.Stdout, build.Stderr = &output, &output
	build.WaitDelay = time.Second
	return program, eris.Wrapf(build.Run(), "build %s: %s", command, &output)
}
