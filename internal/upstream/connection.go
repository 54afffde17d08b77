package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buffer sizes of a connection, in bytes. Requests to a shard are small.
const (
	readBufferBytes  = 2048
	writeBufferBytes = 1024
)

// defaultIdleTimeout applies when the replica sends no Keep-Alive timeout.
const defaultIdleTimeout = 8 * time.Second

// idleTimeoutFactor shortens the replica's Keep-Alive timeout, so that no request is
// sent while the replica closes the connection.
const idleTimeoutFactor = 0.8

// maxRequests is the number of requests after which a connection is closed. It bounds the
// memory for the IDs that it has carried.
const maxRequests = 1024

// connection is a persistent connection to a replica. It serves one request at a time.
//
// It carries at most one request with a given ID. A response tells whose it is by the ID
// alone, and a replica may send a surplus response at any later time. If a retry were sent
// on the connection of the earlier try, a surplus response to that one would be taken for
// its own. Pool.takeIdle, which selects a connection for a request, ensures this.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last response was received. The connection must not be used
	// after expiresAt.
	idleSince, expiresAt time.Time
	// reused is true from the second request on.
	reused bool
	// carried holds the hashes of the IDs of all requests that were sent.
	carried []uint64
}

func newConnection(conn net.Conn) *connection {
	return &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

func (c *connection) addCarried(id string) { c.carried = append(c.carried, xxhash.Sum64String(id)) }

// hasCarried reports whether a request with the ID was sent on the connection. Rarely, it is
// also true for another ID with the same hash.
func (c *connection) hasCarried(id string) bool {
	return slices.Contains(c.carried, xxhash.Sum64String(id))
}

// isExhausted reports whether the connection must not be used for another request.
func (c *connection) isExhausted() bool { return len(c.carried) >= maxRequests }

// usable reports whether an idle connection is open and has no unread data. Unsolicited
// data belongs to no request.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	failure, known := c.probe()
	return known && errors.Is(failure, syscall.EAGAIN)
}

// idleError returns the error that ended an idle connection, or nil if it is open or
// its state is unknown.
func (c *connection) idleError() error {
	failure, known := c.probe()
	switch {
	case !known || errors.Is(failure, syscall.EAGAIN):
		return nil
	case failure == nil:
		return errUnsolicited
	default:
		return failure
	}
}

// errUnsolicited is returned for a connection on which the replica sent data or EOF
// without a request.
var errUnsolicited = errors.New("unsolicited data or EOF from the replica")

// probe reads one byte without blocking; failure is EAGAIN if none is available. known
// is false if the connection does not support the check.
func (c *connection) probe() (failure error, known bool) {
	conn, known := c.Conn.(syscall.Conn)
	if !known {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, false
	}
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, failure = syscall.Read(int(fd), buffer[:])
		return true
	})
	return failure, err == nil
}

// Parameters for confirming new connections. A replica over its connection limit
// completes the TCP handshake and then resets the connection, so the reset arrives
// about one round trip after the dial returns. Sending a request before that would leave
// it unknown whether the replica has read it.
const (
	// confirmPeriod is how long new connections are confirmed after a reset. Replicas
	// keep counting the connections of a node that lost power for some seconds.
	confirmPeriod = 5 * time.Second
	// The wait for a reset is the handshake's duration times confirmRatio plus
	// confirmMargin.
	confirmRatio  = 1.5
	confirmMargin = time.Millisecond
	// maxConfirmWait bounds the wait. A longer handshake included a retransmission and
	// is no measure of the round trip.
	maxConfirmWait = 50 * time.Millisecond
)

// confirm waits until a replica over its connection limit would have reset the new
// connection. It returns the reset or any other error that ended the connection.
func (c *connection) confirm(handshake time.Duration) error {
	wait := min(time.Duration(confirmRatio*float64(handshake))+confirmMargin, maxConfirmWait)
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	switch {
	case err == nil:
		return errUnsolicited
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return c.idleError() // the reset may have arrived after the deadline passed
}

// keepAliveTimeout returns how long a connection may stay idle after a response, or
// false if it must be closed.
func keepAliveTimeout(response *http.Response) (time.Duration, bool) {
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
		return time.Duration(idleTimeoutFactor * float64(seconds) * float64(time.Second)), true
	}
	return defaultIdleTimeout, true
}
