package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/drain"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/gateway"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/settings"
)

const (
	maxHeaderBytes  = 32 << 10
	idleTimeout     = 2 * time.Minute
	peerReadTimeout = 30 * time.Second
)

// listeners holds a daemon's three listeners and their servers.
type listeners struct {
	callers        *drain.Listener
	peers          *drain.Listener
	administration net.Listener

	callersConnections drain.Connections
	peersConnections   drain.Connections

	callersServer        *http.Server
	peersServer          *http.Server
	administrationServer *http.Server
}

// openListeners opens all three listeners or none.
func openListeners(config settings.Settings) (*listeners, error) {
	var opened []*drain.Listener
	for _, address := range []string{config.Callers.Address, config.Peers.Address, config.Administration.Address} {
		listener, err := drain.Listen(address)
		if err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return nil, err
		}
		opened = append(opened, listener)
	}
	return &listeners{callers: opened[0], peers: opened[1], administration: opened[2]}, nil
}

// createServers creates the server of each listener.
func (l *listeners) createServers(d *Daemon) {
	l.callersServer = d.newCallersServer()
	l.peersServer = d.newPeersServer()
	l.administrationServer = d.newAdministrationServer()
	l.callersConnections.Track(l.callersServer)
	l.peersConnections.Track(l.peersServer)
	connectionErrors := newConnectionErrors(d.registry)
	report := func(text string) { d.logger.Error("handler panicked", "error", text) }
	for port, server := range map[string]*http.Server{
		"callers": l.callersServer, "peers": l.peersServer, "administration": l.administrationServer,
	} {
		server.MaxHeaderBytes = maxHeaderBytes
		server.IdleTimeout = idleTimeout
		server.ErrorLog = connectionErrors.logger(port, report)
		if server.TLSConfig != nil {
			elapsed.ConfigureHTTP2(server, d.meter)
		}
	}
}

func (d *Daemon) newCallersServer() *http.Server {
	return &http.Server{
		Handler: gateway.New(gateway.Options{
			Searcher:     d.queries,
			Caller:       d.calls,
			Board:        d.board,
			MaxBodyBytes: d.settings.Callers.MaxBodyBytes,
			WriteTimeout: d.settings.Callers.WriteTimeout,
			Registerer:   d.registry,
		}),
		ReadHeaderTimeout: d.settings.Callers.HeaderTimeout,
		ReadTimeout:       d.settings.Callers.BodyTimeout,
		TLSConfig:         d.tls.callersConfig(),
	}
}

func (d *Daemon) newPeersServer() *http.Server {
	return &http.Server{
		Handler: d.closeHTTP1Connections(peer.NewServer(peer.ServerOptions{
			WithTimeout: d.meter.WithTimeout,
			Exchange:    d.node.Receive,
			Document:    d.register.Current,
			Fresh:       d.monitor.Fresh,
			State:       d.state,
			Statistics:  d.encodedStatistics,
			Forwarder:   replica.NewForwardServer(d.pool, d.registry),
			Registerer:  d.registry,
		})),
		Protocols:         peer.ServerProtocols(),
		ReadHeaderTimeout: peerReadTimeout,
		ReadTimeout:       peerReadTimeout,
		TLSConfig:         d.tls.peersServerConfig(),
	}
}

func (d *Daemon) newAdministrationServer() *http.Server {
	return &http.Server{
		Handler: admin.New(admin.Options{
			Board:       d.board,
			Editor:      &restoringEditor{Editor: d.editor, calls: d.calls, board: d.board},
			Peers:       d.peers,
			State:       d.state,
			Failed:      d.node.Failed,
			Statistics:  d.encodedStatistics,
			Replicas:    d.pool.Statuses,
			Token:       d.token,
			Gatherer:    d.registry,
			Registerer:  d.registry,
			WithTimeout: d.meter.WithTimeout,
		}),
		ReadHeaderTimeout: d.settings.Callers.HeaderTimeout,
		TLSConfig:         d.tls.administrationConfig(),
	}
}

// start runs the servers in group. A server that fails ends the group. Deadlines of connections
// do not count time in which the process is paused, as measured by meter.
func (l *listeners) start(group *errgroup.Group, meter *elapsed.Meter) {
	group.Go(func() error { return serve(l.callersServer, elapsed.NewListener(l.callers, meter)) })
	group.Go(func() error { return serve(l.peersServer, elapsed.NewListener(l.peers, meter)) })
	group.Go(func() error { return serve(l.administrationServer, elapsed.NewListener(l.administration, meter)) })
}

func serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve on %s", listener.Addr())
}

// close closes all servers, the administration server last.
func (l *listeners) close() {
	for _, server := range []*http.Server{l.callersServer, l.peersServer, l.administrationServer} {
		_ = server.Close()
	}
}
