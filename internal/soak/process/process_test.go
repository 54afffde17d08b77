package process

import (
	"os"
	"syscall"
	"testing"
)

func start(t *testing.T, args ...string) *Process {
	t.Helper()
	p := New(Config{Program: "sleep", Args: args, Log: os.Stderr})
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	return p
}

func TestSignaledExitIsNoFailure(t *testing.T) {
	for _, number := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		p := start(t, "60")
		if err := p.Signal(number); err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := p.Failures(); len(got) != 0 {
			t.Errorf("%v: failures %v", number, got)
		}
	}
}

func TestUnexpectedExitIsFailure(t *testing.T) {
	p := start(t, "0")
	if err := p.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := p.Failures(); len(got) != 1 {
		t.Errorf("got failures %v, want one", got)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	p.Kill()
}

func TestStartMissingProgram(t *testing.T) {
	if err := New(Config{Program: "./nowhere"}).Start(); err == nil {
		t.Error("starting a missing program succeeded")
	}
}
