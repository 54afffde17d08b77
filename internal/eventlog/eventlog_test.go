package eventlog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockingTarget blocks each write until the gate is closed.
type blockingTarget struct {
	gate  chan struct{}
	mutex sync.Mutex
	text  strings.Builder
}

func (s *blockingTarget) Write(line []byte) (int, error) {
	<-s.gate
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(line)
}

func TestWriterKeepsOrder(t *testing.T) {
	target := &blockingTarget{gate: make(chan struct{})}
	close(target.gate)
	writer := NewWriter(target)
	want := ""
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		if _, err := writer.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	writer.Close()
	if target.text.String() != want {
		t.Errorf("got %q, want %q", target.text.String(), want)
	}
}

// A blocked target must not block Write, and dropped lines must be counted.
func TestWriterDropsLinesWhenBlocked(t *testing.T) {
	target := &blockingTarget{gate: make(chan struct{})}
	writer := NewWriter(target)
	line := []byte("x\n")
	for range 3 * bufferSize {
		if size, err := writer.Write(line); size != len(line) || err != nil {
			t.Fatal(size, err)
		}
	}
	close(target.gate)
	writer.Close()
	written := strings.Count(target.text.String(), "x\n")
	if written < bufferSize || written > bufferSize+1 {
		t.Errorf("got %d lines written, want %d or %d", written, bufferSize, bufferSize+1)
	}
	if !strings.Contains(target.text.String(), fmt.Sprintf(`"count":%d`, 3*bufferSize-written)) {
		t.Error("number of dropped lines was not reported")
	}
}
