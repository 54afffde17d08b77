package operator

import (
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/certificates"
)

// dialTimeout bounds the opening of a connection to a daemon.
const dialTimeout = 5 * time.Second

// transportOf makes the transport that the TLS flags ask for, and says which
// scheme an address without one has.
func transportOf(command *cli.Command) (through *http.Transport, scheme string, err error) {
	through = http.DefaultTransport.(*http.Transport).Clone()
	files := certificates.Files{
		Certificate: command.String(flagCertificate),
		Key:         command.String(flagKey),
		Authority:   command.String(flagAuthority),
	}
	if !files.Enabled() {
		return through, plainScheme, nil
	}
	if (files.Certificate == "") != (files.Key == "") {
		return through, secureScheme, usage("--%s and --%s are needed together", flagCertificate, flagKey)
	}
	source, err := certificates.NewSource(files)
	if err != nil {
		return through, secureScheme, usage("%w", err)
	}
	through.DialTLSContext = certificates.DialTLS(source.ClientConfig(), (&net.Dialer{Timeout: dialTimeout}).DialContext)
	return through, secureScheme, nil
}
