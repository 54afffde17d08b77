package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The sizes of a connection's buffers, in bytes. A part of a query is small.
const (
	readBufferBytes  = 2048
	writeBufferBytes = 1024
)

// defaultIdle is how long a connection is kept when the replica names no time.
const defaultIdle = 8 * time.Second

// idleShare is the part of the time named by the replica for which a
// connection is used again, so that its close does not meet a request.
const idleShare = 0.8

// connection is one kept-alive connection to a replica. It serves one request
// at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// restsSince is when its last answer was in, expires when it must not be used
	// any more.
	restsSince, expires time.Time
	// used is true from the second request on.
	used bool
}

func newConnection(opened net.Conn) *connection {
	return &connection{
		Conn:   opened,
		reader: bufio.NewReaderSize(opened, readBufferBytes),
		writer: bufio.NewWriterSize(opened, writeBufferBytes),
	}
}

// quiet tells whether an idle connection is open and holds no unasked byte: a
// byte that nobody waits for belongs to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var probe [1]byte
	var failure error
	err = raw.Read(func(descriptor uintptr) bool {
		_, failure = syscall.Read(int(descriptor), probe[:])
		return true
	})
	return err == nil && errors.Is(failure, syscall.EAGAIN)
}

// keepFor returns how long a connection may rest after an answer; false means
// that it must be closed.
func keepFor(response *http.Response) (time.Duration, bool) {
	if response.Close {
		return 0, false
	}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0, false
		}
		return time.Duration(idleShare * float64(seconds) * float64(time.Second)), true
	}
	return defaultIdle, true
}
