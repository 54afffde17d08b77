package eventlog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// slowTarget blocks each write until it is let go.
type slowTarget struct {
	gate  chan struct{}
	mutex sync.Mutex
	text  strings.Builder
}

func (s *slowTarget) Write(line []byte) (int, error) {
	<-s.gate
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(line)
}

func TestLinesKeepTheirOrder(t *testing.T) {
	target := &slowTarget{gate: make(chan struct{})}
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
		t.Errorf("wrote %q", target.text.String())
	}
}

// TestATargetThatBlocksDoesNotHoldUp: whoever logs goes on, and what was left
// out is counted.
func TestATargetThatBlocksDoesNotHoldUp(t *testing.T) {
	target := &slowTarget{gate: make(chan struct{})}
	writer := NewWriter(target)
	line := []byte("x\n")
	for range 3 * bufferedLines {
		if size, err := writer.Write(line); size != len(line) || err != nil {
			t.Fatal(size, err)
		}
	}
	close(target.gate)
	writer.Close()
	written := strings.Count(target.text.String(), "x\n")
	if written < bufferedLines || written > bufferedLines+1 {
		t.Errorf("%d lines written", written)
	}
	if !strings.Contains(target.text.String(), fmt.Sprintf(`"count":%d`, 3*bufferedLines-written)) {
		t.Error("the lines left out are not counted")
	}
}
