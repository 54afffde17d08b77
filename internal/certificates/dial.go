package certificates

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialTLS opens TLS connections whose server must name the address that was
// dialled; it is for http.Transport.DialTLSContext. The transport's own way
// cannot check this for IP addresses with authorities that change: the library
// tells VerifyConnection names, but no addresses.
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
		secured := tls.Client(connection, naming(config, host, protocols))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = connection.Close() // the handshake's error is the one to report
			return nil, eris.Wrapf(err, "TLS handshake with %s", address)
		}
		return secured, nil
	}
}

// naming returns a configuration for connections to one host.
func naming(config *tls.Config, host string, protocols []string) *tls.Config {
	named := config.Clone()
	named.ServerName = host
	named.NextProtos = protocols
	if config.VerifyConnection != nil {
		named.VerifyConnection = func(state tls.ConnectionState) error {
			state.ServerName = host
			return config.VerifyConnection(state)
		}
	}
	return named
}
