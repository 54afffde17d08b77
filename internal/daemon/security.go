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
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/settings"
)

// reloadInterval between two readings of the TLS files.
const reloadInterval = 10 * time.Second

// dialTimeout bounds the opening of a connection to the store.
const dialTimeout = 2 * time.Second

// The protocols that a listener offers by TLS.
const (
	protocolHTTP2 = "h2"
	protocolHTTP1 = "http/1.1"
)

// security has the TLS material of each side; nil means plain.
type security struct {
	callersSource        *certificates.Source
	peersSource          *certificates.Source
	administrationSource *certificates.Source
	storeSource          *certificates.Source
	backendsSource       *certificates.Source
}

func newSecurity(chosen settings.Settings) (security, error) {
	var s security
	sides := []struct {
		name  string
		files certificates.Files
		into  **certificates.Source
	}{
		{"callers", chosen.Callers.TLS, &s.callersSource},
		{"peers", chosen.Peers.TLS, &s.peersSource},
		{"administration", chosen.Administration.TLS, &s.administrationSource},
		{"store", chosen.Store.TLS, &s.storeSource},
		{"backends", chosen.Backends.TLS, &s.backendsSource},
	}
	for _, side := range sides {
		if !side.files.Enabled() {
			continue
		}
		if side.name == "backends" && replica.Protocol(chosen.Backends.Protocol) != replica.ProtocolHTTP1 {
			return s, &settings.Error{Source: "settings", Key: "backends.protocol", Reason: "must be http1 where back ends speak TLS"}
		}
		source, err := certificates.NewSource(side.files)
		if err != nil {
			return s, eris.Wrapf(err, "TLS of %s", side.name)
		}
		*side.into = source
	}
	return s, nil
}

func serverOf(source *certificates.Source) *tls.Config {
	if source == nil {
		return nil
	}
	return source.Server(protocolHTTP2, protocolHTTP1)
}

func clientOf(source *certificates.Source) *tls.Config {
	if source == nil {
		return nil
	}
	return source.Client()
}

func (s *security) callersServer() *tls.Config        { return serverOf(s.callersSource) }
func (s *security) peersServer() *tls.Config          { return serverOf(s.peersSource) }
func (s *security) peersClient() *tls.Config          { return clientOf(s.peersSource) }
func (s *security) administrationServer() *tls.Config { return serverOf(s.administrationSource) }
func (s *security) backends() *tls.Config             { return clientOf(s.backendsSource) }

// storeClient returns nil for a plain store, which then gets a client of its
// own.
func (s *security) storeClient() *http.Client {
	if s.storeSource == nil {
		return nil
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialTLSContext = certificates.DialTLS(s.storeSource.Client(), (&net.Dialer{Timeout: dialTimeout}).DialContext, protocolHTTP1)
	return &http.Client{Transport: transport}
}

// follow returns a task that takes over changed files until its ctx ends.
func (s *security) follow(logger *slog.Logger) func(context.Context) error {
	report := func(changed bool, err error) {
		if err != nil {
			logger.Error("changed TLS files are not usable; the old ones stay in use", "error", err)
			return
		}
		logger.Info("TLS files were taken over", "changed", changed)
	}
	return func(ctx context.Context) error {
		group, groupContext := errgroup.WithContext(ctx)
		for _, source := range []*certificates.Source{s.callersSource, s.peersSource, s.administrationSource, s.storeSource, s.backendsSource} {
			if source != nil {
				group.Go(func() error { return source.Follow(groupContext, reloadInterval, report) })
			}
		}
		group.Go(func() error { <-groupContext.Done(); return nil })
		return group.Wait()
	}
}
