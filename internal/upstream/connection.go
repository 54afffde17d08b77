package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
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
	failure, known := c.probe()
	return known && errors.Is(failure, syscall.EAGAIN)
}

// pending returns what has ended a connection on which nothing is asked, nil if nothing
// is known to have.
func (c *connection) pending() error {
	failure, known := c.probe()
	switch {
	case !known || errors.Is(failure, syscall.EAGAIN):
		return nil
	case failure == nil:
		return errUnasked
	default:
		return failure
	}
}

// errUnasked is returned for a connection that holds a byte, or its end, that no request
// has asked for.
var errUnasked = errors.New("the replica sent or ended without a request")

// probe reads a byte without waiting: EAGAIN says that there is none. known is false
// when the connection cannot tell.
func (c *connection) probe() (failure error, known bool) {
	probed, known := c.Conn.(syscall.Conn)
	if !known {
		return nil, false
	}
	raw, err := probed.SyscallConn()
	if err != nil {
		return nil, false
	}
	var space [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, failure = syscall.Read(int(descriptor), space[:])
		return true
	})
	return failure, err == nil
}

// The constants of confirming new connections. A replica over its connection limit
// completes the handshake and then resets, so that the reset arrives one round trip after
// the connection is up: within 1.23 times the time of the handshake in 99 of 100 of 1,281
// such resets. A request written at once gets the same reset, and whether the replica has
// read it cannot be told.
const (
	// confirmFor is how long new connections to a replica are confirmed from the latest
	// reset on, as well as before its first answer: replicas count the connections of a
	// node that lost power for some two seconds (resets seen after its return).
	confirmFor = 5 * time.Second
	// confirmRatio of the handshake's time, and confirmSlack besides, is the wait for a
	// reset, as that comes a little after one round trip.
	confirmRatio = 1.5
	confirmSlack = time.Millisecond
	// confirmAtMost bounds the wait: a handshake that took longer has lost a packet, and
	// says nothing of the round trip. Twice the way between regions and back.
	confirmAtMost = 50 * time.Millisecond
)

// confirm waits until a replica that does not accept a new connection, whose handshake
// took so long, would have reset it. It returns the reset, or what else has ended it.
func (c *connection) confirm(handshake time.Duration) error {
	wait := min(time.Duration(confirmRatio*float64(handshake))+confirmSlack, confirmAtMost)
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	switch {
	case err == nil:
		return errUnasked
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return c.pending() // the reset may have come while this goroutine waited for the processor
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
