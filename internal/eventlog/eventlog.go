// Package eventlog writes log lines asynchronously. Writers never block: lines
// that arrive while the buffer is full are dropped and counted.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// bufferSize is the maximum number of lines waiting to be written.
const bufferSize = 256

// Writer is an asynchronous io.Writer. Each call to Write must pass one complete
// line. It is safe for concurrent use.
type Writer struct {
	target    io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer and starts its goroutine, which runs until Close.
func NewWriter(target io.Writer) *Writer {
	writer := &Writer{target: target, lines: make(chan []byte, bufferSize), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write queues one line, or drops it if the buffer is full. It never blocks and
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	buffered := make([]byte, len(line))
	copy(buffered, line)
	select {
	case w.lines <- buffered:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the Writer. Write must not be called
// afterwards.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.target.Write(line) // an error of the log itself cannot be reported
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.target, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
		}
	}
}
