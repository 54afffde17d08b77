package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/gateway"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/settings"
)

const (
	maxHeaderBytes  = 32 << 10
	idleTimeout     = 2 * time.Minute
	peerReadTimeout = 30 * time.Second
)

// listeners are the three ports of a daemon and their servers.
type listeners struct {
	callers        net.Listener
	peers          net.Listener
	administration net.Listener

	callersServer        *http.Server
	peersServer          *http.Server
	administrationServer *http.Server
}

// openListeners opens all three ports or none.
func openListeners(chosen settings.Settings) (*listeners, error) {
	var opened []net.Listener
	for _, address := range []string{chosen.Callers.Address, chosen.Peers.Address, chosen.Administration.Address} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return nil, eris.Wrapf(err, "listen on %s", address)
		}
		opened = append(opened, listener)
	}
	return &listeners{callers: opened[0], peers: opened[1], administration: opened[2]}, nil
}

// serve gives each port its handler.
func (l *listeners) serve(d *Daemon) {
	l.callersServer = &http.Server{
		Handler: gateway.New(gateway.Options{
			Search:       &freshSearcher{monitor: d.monitor, searcher: d.queries},
			Calls:        d.calls,
			Board:        d.board,
			MaxBodyBytes: d.settings.Callers.MaxBodyBytes,
			Registerer:   d.registry,
		}),
		ReadHeaderTimeout: d.settings.Callers.HeaderTimeout,
		ReadTimeout:       d.settings.Callers.BodyTimeout,
		TLSConfig:         d.security.callersServer(),
	}
	l.peersServer = &http.Server{
		Handler: peer.NewServer(peer.ServerOptions{
			Exchange:   d.node.Receive,
			Document:   d.register.Current,
			State:      d.state,
			Statistics: d.encodedStatistics,
			Registerer: d.registry,
		}),
		Protocols:         peer.ServerProtocols(),
		ReadHeaderTimeout: peerReadTimeout,
		ReadTimeout:       peerReadTimeout,
		TLSConfig:         d.security.peersServer(),
	}
	l.administrationServer = &http.Server{
		Handler: admin.New(admin.Options{
			Board:      d.board,
			Editor:     d.editor,
			Peers:      d.peers,
			State:      d.state,
			Token:      d.token,
			Gatherer:   d.registry,
			Registerer: d.registry,
		}),
		ReadHeaderTimeout: d.settings.Callers.HeaderTimeout,
		TLSConfig:         d.security.administrationServer(),
	}
	for _, server := range []*http.Server{l.callersServer, l.peersServer, l.administrationServer} {
		server.MaxHeaderBytes = maxHeaderBytes
		server.IdleTimeout = idleTimeout
	}
}

// start serves the ports in the background. A port that fails ends the group.
func (l *listeners) start(group *errgroup.Group) {
	group.Go(func() error { return serveOn(l.callersServer, l.callers) })
	group.Go(func() error { return serveOn(l.peersServer, l.peers) })
	group.Go(func() error { return serveOn(l.administrationServer, l.administration) })
}

func serveOn(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve on %s", listener.Addr())
}

// close ends what is still open; the administration port lives longest.
func (l *listeners) close() {
	for _, server := range []*http.Server{l.callersServer, l.peersServer, l.administrationServer} {
		_ = server.Close() // nothing is left to lose
	}
}
