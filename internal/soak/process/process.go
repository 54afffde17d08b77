// Package process runs one node as a process of its own, and ends, pauses and
// wakes it by signals. It ends no process but those that it has started.
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

// Config is what a Process is made of.
type Config struct {
	// Program and Args are what is run.
	Program string
	Args    []string
	// Log takes what the process writes, of all its lives.
	Log *os.File
}

// Process is one program that is started again and again.
type Process struct {
	config Config

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// expected is true once the process was told to end.
	expected bool
	failures []error
}

// New makes a Process that does not run yet.
func New(config Config) *Process { return &Process{config: config} }

// Start begins a life of the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.config.Program, p.config.Args...)
	command.Stdout, command.Stderr = p.config.Log, p.config.Log
	// the process ends with the one that has started it, also when that is killed
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

// Wait waits until the process has ended, or ctx is over.
func (p *Process) Wait(ctx context.Context) error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for a process to end")
	}
}

// Kill kills the process and waits for it.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL) // it fails only for one that has ended
	_ = p.Wait(context.Background())
}

// Failures returns how often the process ended by itself.
func (p *Process) Failures() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// Build compiles a command of this module into a directory and returns the
// program's path.
func Build(ctx context.Context, directory, command string) (string, error) {
	program := directory + "/" + command
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/doorpond/doorpond/cmd/"+command)
	var output bytes.Buffer
	build.Stdout, build.Stderr = &output, &output
	build.WaitDelay = time.Second
	return program, eris.Wrapf(build.Run(), "build %s: %s", command, &output)
}
