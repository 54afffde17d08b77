// Package eventlog writes log lines without ever blocking those who log: a
// line that finds the buffer full is counted and left out.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// bufferedLines is the number of lines that may wait to be written.
const bufferedLines = 256

// Writer is an io.Writer that takes whole lines. It is safe for concurrent
// use.
type Writer struct {
	target  io.Writer
	lines   chan []byte
	omitted atomic.Int64
	ended   chan struct{}
	once    sync.Once
}

// NewWriter makes a Writer and starts to write.
func NewWriter(target io.Writer) *Writer {
	writer := &Writer{target: target, lines: make(chan []byte, bufferedLines), ended: make(chan struct{})}
	go writer.run()
	return writer
}

// Write takes one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	kept := make([]byte, len(line))
	copy(kept, line)
	select {
	case w.lines <- kept:
	default:
		w.omitted.Add(1)
	}
	return len(line), nil
}

// Close writes what still waits. Nothing may be written afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.ended
}

func (w *Writer) run() {
	defer close(w.ended)
	for line := range w.lines {
		_, _ = w.target.Write(line) // there is nowhere to report it
		if omitted := w.omitted.Swap(0); omitted > 0 {
			_, _ = fmt.Fprintf(w.target, `{"level":"WARN","msg":"log lines left out","count":%d}`+"\n", omitted)
		}
	}
}
