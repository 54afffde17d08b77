package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// client resolves the nodes' addresses through the directory and sends requests, each on a
// connection of its own.
type client struct {
	stage *stage
	// key is the client's API key, if it has one.
	key string

	mutex     sync.Mutex
	addresses []string
	expires   time.Time
}

// answer is what a client received. Complete is true if the answer was whole by its framing.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

const host = "review.example"

// resolve asks the directory of any node where to go, and keeps the answer as long as it says.
func (c *client) resolve() ([]string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses, nil
	}
	asked := c.stage.nodes[rand.IntN(len(c.stage.nodes))]
	response, err := http.Get(fmt.Sprintf("http://%s/-/resolve?name=%s&region=%s&zone=%s", asked.directory, host, asked.region, asked.zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // it was read to the end
	var resolved struct {
		Addresses []string `json:"addrs"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&resolved); err != nil {
		return nil, err
	}
	if len(resolved.Addresses) == 0 {
		return nil, fmt.Errorf("the directory named no address, status %d", response.StatusCode)
	}
	c.addresses, c.expires = resolved.Addresses, time.Now().Add(time.Duration(resolved.TTL*float64(time.Second)))
	return c.addresses, nil
}

// send sends one client attempt.
func (c *client) send(id, method, path string, body []byte, timeout time.Duration) answer {
	addresses, err := c.resolve()
	if err != nil {
		return answer{err: err}
	}
	conn, err := net.DialTimeout("tcp", addresses[rand.IntN(len(addresses))], time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(timeout + time.Second))
	var request bytes.Buffer
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\n", method, path, host, id, timeout.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&request, "Authorization: Bearer %s\r\n", c.key)
	}
	if method == http.MethodPost {
		request.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	request.WriteString("\r\n")
	request.Write(body)
	if _, err := conn.Write(request.Bytes()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: content, complete: err == nil, err: err}
}

// every calls work at a steady rate until the length is over, and waits for all calls.
func every(interval, length time.Duration, work func(number int)) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	ends := time.Now().Add(length)
	for number := 0; time.Now().Before(ends); number++ {
		<-ticker.C
		running.Go(func() { work(number) })
	}
}
