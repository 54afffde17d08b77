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
	// served is closed once serving has ended, with serveErr set.
	served   chan struct{}
	serveErr error
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
		served:  make(chan struct{}),
	}
	limited := &limitedListener{
		Listener: listener,
		limit:    int64(replica.options.ConnectionLimit),
		counters: &replica.counters,
	}
	go func() {
		defer close(server.served)
		server.serveErr = server.server.Serve(limited)
	}()
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
// does, and waits for the listener to be gone. It may be called more than once.
func (s *Server) Close() error {
	closing := s.server.Close()
	<-s.served
	if !errors.Is(s.serveErr, http.ErrServerClosed) {
		return eris.Wrap(s.serveErr, "serve the replica")
	}
	return closing
}
