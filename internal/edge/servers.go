package edge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/drain"
	"github.com/doorpond/doorpond/internal/handover"
	"github.com/doorpond/doorpond/internal/ingress"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/relay"
)

// listen opens all listeners, or none if it fails. assemble creates their servers.
func (n *Node) listen() error {
	callers, err := drain.Listen(n.settings.Callers)
	if err != nil {
		return err
	}
	n.callers = callers
	addresses := map[string]string{"readiness": n.settings.Readiness, "directory": n.settings.Directory, "state": n.settings.State}
	if n.settings.Metrics != "" {
		addresses["metrics"] = n.settings.Metrics
	}
	n.auxiliary = make(map[string]*auxiliaryServer)
	for name, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			n.closeListeners()
			return eris.Wrapf(err, "listen on the %s address", name)
		}
		n.auxiliary[name] = &auxiliaryServer{listener: listener}
	}
	return nil
}

func (n *Node) closeListeners() {
	_ = n.callers.Close()
	for _, aux := range n.auxiliary {
		_ = aux.listener.Close()
	}
}

// initServers creates the server of each listener.
func (n *Node) initServers() {
	options := ingress.Options{
		Board: n.board, Codec: n.platform.Codec, Forwarder: n.queries, Quota: n.ingressQuota(), QuotaAge: n.quotaAge, WaitFresh: n.follower.WaitUntilFresh,
		Logger: n.logger,
	}
	if n.metrics != nil {
		options.Registerer = n.metrics
	}
	n.handler = ingress.New(options)
	n.server = n.newServer(n.handler)
	n.connections.Track(n.server)
	requests, cancelRequests := context.WithCancelCause(context.Background())
	n.server.BaseContext = func(net.Listener) context.Context { return requests }
	n.cancelRequests = cancelRequests
	n.auxiliary["readiness"].server = n.newServer(n.platform.ReadinessHandler(n.ready))
	n.auxiliary["state"].server = n.newServer(n.stateHandler())
	n.auxiliary["directory"].server = n.newServer(n.platform.DirectoryHandler(n.resolve))
	if n.metrics != nil {
		n.auxiliary["metrics"].server = n.newServer(promhttp.HandlerFor(n.metrics, promhttp.HandlerOpts{}))
	}
}

// stateHandler serves this node's state to other nodes and operators.
func (n *Node) stateHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.Path, n.follower.Feed())
	mux.Handle(handover.Path, handover.Handler(n.follower.Snapshot))
	mux.Handle("/v1/", inspect.New(inspect.Config{
		Board: n.board, Node: n.self, Statistics: n.queries.Statistics, Overloaded: n.overloaded, Budgets: n.budgets.usage,
		Client: stateClient(), Quarantined: n.quarantine.Records, Release: n.release, StoreProgress: n.follower.AppliedRevision,
		Refusals: n.handler.Refusals, Quota: n.QuotaState,
	}))
	return mux
}

// Addresses are the addresses that a node listens on, with the assigned ports.
type Addresses struct {
	Callers, Readiness, Directory, Metrics, Peers, State string
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	addresses := Addresses{
		Callers:   n.callers.Addr().String(),
		Readiness: n.auxiliary["readiness"].listener.Addr().String(),
		Directory: n.auxiliary["directory"].listener.Addr().String(),
		Peers:     n.announcer.Address(),
		State:     n.auxiliary["state"].listener.Addr().String(),
	}
	if metrics := n.auxiliary["metrics"]; metrics != nil {
		addresses.Metrics = metrics.listener.Addr().String()
	}
	return addresses
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.logger.Handler(), slog.LevelError),
	}
}

func (n *Node) close() {
	_ = n.server.Close() // best effort
	_ = n.callers.Close()
	for _, aux := range n.auxiliary {
		_ = aux.server.Close()
	}
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve on %s", listener.Addr())
}
