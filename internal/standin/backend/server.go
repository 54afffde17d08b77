package backend

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const headerTimeout = 10 * time.Second

// Server serves one replica on one listener, over HTTP/1.1 and h2c.
type Server struct {
	Replica *Replica
	// Address is IP:port.
	Address string

	server *http.Server
	done   chan error
}

// Start serves a replica on an address such as "127.0.0.1:0".
func Start(replica *Replica, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	server := &Server{
		Replica: replica,
		Address: listener.Addr().String(),
		server:  newHTTPServer(replica),
		done:    make(chan error, 1),
	}
	limited := &limitedListener{
		Listener: listener,
		limit:    int64(replica.options.ConnectionLimit),
		counters: &replica.counters,
	}
	go func() { server.done <- server.server.Serve(limited) }()
	return server, nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// Close ends the server and its connections at once, as a killed process
// does, and waits for the listener to be gone.
func (s *Server) Close() error {
	closing := s.server.Close()
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve the replica")
	}
	return closing
}
