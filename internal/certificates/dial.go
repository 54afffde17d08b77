package certificates

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
)

// DialFunc opens a connection. It has the signature of
// net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialTLS returns a DialFunc for http.Transport.DialTLSContext that opens TLS
// connections and verifies the server's certificate against the dialled
// address. The transport's default cannot do so for an IP address with
// VerifyConnection, because crypto/tls leaves ConnectionState.ServerName empty
// for IP addresses.
func DialTLS(config *tls.Config, dial DialFunc, protocols ...string) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, eris.Wrapf(err, "dial %s", address)
		}
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tlsConnection := tls.Client(connection, configForHost(config, host, protocols))
		if err := tlsConnection.HandshakeContext(ctx); err != nil {
			_ = connection.Close() // the handshake error takes precedence
			return nil, eris.Wrapf(err, "TLS handshake with %s", address)
		}
		return tlsConnection, nil
	}
}

// configForHost returns a copy of config that verifies the server against host.
func configForHost(config *tls.Config, host string, protocols []string) *tls.Config {
	cloned := config.Clone()
	cloned.ServerName = host
	cloned.NextProtos = protocols
	if config.VerifyConnection != nil {
		cloned.VerifyConnection = func(state tls.ConnectionState) error {
			state.ServerName = host
			return config.VerifyConnection(state)
		}
	}
	return cloned
}
