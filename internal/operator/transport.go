package operator

import (
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/elapsed/operation"
)

// dialTimeout limits dialing with TLS, not counting time in which the process is paused.
const dialTimeout = 5 * time.Second

// newTransport returns the transport configured by the TLS flags and the URL
// scheme to use for addresses that have none.
func newTransport(command *cli.Command) (transport *http.Transport, scheme string, err error) {
	transport = http.DefaultTransport.(*http.Transport).Clone()
	files := certificates.Files{
		Certificate: command.String(flagCertificate),
		Key:         command.String(flagKey),
		Authority:   command.String(flagCA),
	}
	if !files.Enabled() {
		return transport, httpScheme, nil
	}
	if (files.Certificate == "") != (files.Key == "") {
		return transport, httpsScheme, usageError("--%s and --%s must be used together", flagCertificate, flagKey)
	}
	source, err := certificates.NewSource(files)
	if err != nil {
		return transport, httpsScheme, usageError("%w", err)
	}
	transport.DialTLSContext = certificates.DialTLS(source.ClientConfig(), certificates.DialFunc(operation.Dial(net.Dialer{}, dialTimeout)))
	return transport, httpsScheme, nil
}
