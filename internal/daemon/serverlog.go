package daemon

import (
	"bytes"
	"log"

	"github.com/prometheus/client_golang/prometheus"
)

// The kinds of errors that net/http reports of connections.
const (
	errorTLSHandshake = "tls_handshake"
	errorPanic        = "panic"
	errorOther        = "other"
)

// connectionErrors counts what net/http would log of connections: anybody who
// can connect can cause such lines, so they are counted and not written.
type connectionErrors struct {
	counter *prometheus.CounterVec
}

func newConnectionErrors(registerer prometheus.Registerer) *connectionErrors {
	c := &connectionErrors{counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_connection_errors_total",
		Help: "Connections that failed outside of a request, by port and kind.",
	}, []string{"port", "kind"})}
	registerer.MustRegister(c.counter)
	return c
}

// logger returns the ErrorLog of one port's server. Panics are still written,
// by the given function.
func (c *connectionErrors) logger(port string, report func(text string)) *log.Logger {
	return log.New(&connectionErrorWriter{errors: c, port: port, report: report}, "", 0)
}

type connectionErrorWriter struct {
	errors *connectionErrors
	port   string
	report func(text string)
}

// Write implements io.Writer; it takes one message.
func (w *connectionErrorWriter) Write(message []byte) (int, error) {
	kind := kindOfConnectionError(message)
	w.errors.counter.WithLabelValues(w.port, kind).Inc()
	if kind == errorPanic {
		w.report(string(message))
	}
	return len(message), nil
}

func kindOfConnectionError(message []byte) string {
	switch {
	case bytes.Contains(message, []byte("TLS handshake error")):
		return errorTLSHandshake
	case bytes.Contains(message, []byte("panic serving")):
		return errorPanic
	default:
		return errorOther
	}
}
