package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
)

// Guards against resetting the connection of a caller that is refused while it still sends its
// body: the caller does not receive the answer, which says that nothing has run.
func TestRefusalReachesCallerThatSendsBody(t *testing.T) {
	const (
		callers   = 40
		bodyBytes = 240_000
	)
	server := httptest.NewServer(New(Options{Board: &blackboard.Board{}, Codec: testCodec{}}))
	defer server.Close()
	for _, closes := range []bool{true, false} {
		var sending sync.WaitGroup
		for range callers {
			sending.Go(func() {
				status, err := postSlowly(server.Listener.Addr().String(), closes, make([]byte, bodyBytes))
				if err != nil || status != http.StatusServiceUnavailable {
					t.Errorf("close %v: status %d, error %v", closes, status, err)
				}
			})
		}
		sending.Wait()
	}
}

// postSlowly sends a body in two parts and returns the status of the response.
func postSlowly(address string, closes bool, body []byte) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	header := ""
	if closes {
		header = "Connection: close\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", header, len(body))
	if err != nil {
		return 0, err
	}
	for _, part := range [][]byte{body[:len(body)/2], body[len(body)/2:]} {
		if _, err := conn.Write(part); err != nil {
			return 0, err
		}
		time.Sleep(5 * time.Millisecond) // the refusal is sent meanwhile
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
