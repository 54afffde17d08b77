package platform

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

// httpServer is one stand-in on a free loopback port.
type httpServer struct {
	address string
	server  *http.Server
	done    chan error
}

func listenAndServe(handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen on loopback")
	}
	running := &httpServer{
		address: listener.Addr().String(),
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          log.New(io.Discard, "", 0),
		},
		done: make(chan error, 1),
	}
	go func() { running.done <- running.server.Serve(listener) }()
	return running, nil
}

// close ends the server and its connections, and waits for it.
func (s *httpServer) close() error {
	closing := s.server.Close()
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve a stand-in")
	}
	return closing
}
