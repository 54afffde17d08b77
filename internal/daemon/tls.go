package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/elapsed/operation"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/settings"
)

const reloadInterval = 10 * time.Second

// storeDialTimeout limits dialing the store, not counting time in which the process is paused.
const storeDialTimeout = 2 * time.Second

// The ALPN protocol IDs.
const (
	protocolHTTP2 = "h2"
	protocolHTTP1 = "http/1.1"
)

// tlsSources holds the TLS sources of each endpoint; nil means no TLS.
type tlsSources struct {
	callersSource        *certificates.Source
	peersSource          *certificates.Source
	administrationSource *certificates.Source
	storeSource          *certificates.Source
	backendsSource       *certificates.Source
}

func newTLSSources(config settings.Settings) (tlsSources, error) {
	var s tlsSources
	endpoints := []struct {
		name   string
		files  certificates.Files
		target **certificates.Source
	}{
		{"callers", config.Callers.TLS, &s.callersSource},
		{"peers", config.Peers.TLS, &s.peersSource},
		{"administration", config.Administration.TLS, &s.administrationSource},
		{"store", config.Store.TLS, &s.storeSource},
		{"backends", config.Backends.TLS, &s.backendsSource},
	}
	for _, endpoint := range endpoints {
		if !endpoint.files.Enabled() {
			continue
		}
		if endpoint.name == "backends" && replica.Protocol(config.Backends.Protocol) != replica.ProtocolHTTP1 {
			return s, &settings.Error{Source: "settings", Key: "backends.protocol", Reason: "must be http1 if backends.tls is set"}
		}
		source, err := certificates.NewSource(endpoint.files)
		if err != nil {
			return s, eris.Wrapf(err, "load TLS files of %s", endpoint.name)
		}
		*endpoint.target = source
	}
	return s, nil
}

func serverConfig(source *certificates.Source) *tls.Config {
	if source == nil {
		return nil
	}
	return source.ServerConfig(protocolHTTP2, protocolHTTP1)
}

func clientConfig(source *certificates.Source) *tls.Config {
	if source == nil {
		return nil
	}
	return source.ClientConfig()
}

func (s *tlsSources) callersConfig() *tls.Config        { return serverConfig(s.callersSource) }
func (s *tlsSources) peersServerConfig() *tls.Config    { return serverConfig(s.peersSource) }
func (s *tlsSources) peersClientConfig() *tls.Config    { return clientConfig(s.peersSource) }
func (s *tlsSources) administrationConfig() *tls.Config { return serverConfig(s.administrationSource) }
func (s *tlsSources) backendsConfig() *tls.Config       { return clientConfig(s.backendsSource) }

// storeHTTPClient returns nil if the store is not accessed over TLS.
func (s *tlsSources) storeHTTPClient() *http.Client {
	if s.storeSource == nil {
		return nil
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialTLSContext = certificates.DialTLS(s.storeSource.ClientConfig(), certificates.DialFunc(operation.Dial(net.Dialer{}, storeDialTimeout)), protocolHTTP1)
	return &http.Client{Transport: transport}
}

// reload returns a function that reloads changed files until its context ends.
func (s *tlsSources) reload(logger *slog.Logger) func(context.Context) error {
	report := func(changed bool, err error) {
		if err != nil {
			logger.Error("failed to reload TLS files; keeping the previous ones", "error", err)
			return
		}
		logger.Info("reloaded TLS files", "changed", changed)
	}
	return func(ctx context.Context) error {
		group, groupContext := errgroup.WithContext(ctx)
		for _, source := range []*certificates.Source{s.callersSource, s.peersSource, s.administrationSource, s.storeSource, s.backendsSource} {
			if source != nil {
				group.Go(func() error { return source.Watch(groupContext, reloadInterval, report) })
			}
		}
		group.Go(func() error { <-groupContext.Done(); return nil })
		return group.Wait()
	}
}
