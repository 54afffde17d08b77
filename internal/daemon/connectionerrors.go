package daemon

import (
	"bytes"
	"log"

	"github.com/prometheus/client_golang/prometheus"
)

// The kinds of connection errors, as labels of the metric.
const (
	errorTLSHandshake = "tls_handshake"
	errorPanic        = "panic"
	errorOther        = "other"
)

// connectionErrors counts the connection errors that net/http reports. They are not logged,
// as any client could flood the log.
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

// logger returns the ErrorLog of a port's server. Panics are passed to report.
func (c *connectionErrors) logger(port string, report func(text string)) *log.Logger {
	return log.New(&connectionErrorWriter{errors: c, port: port, report: report}, "", 0)
}

type connectionErrorWriter struct {
	errors *connectionErrors
	port   string
	report func(text string)
}

// Write implements io.Writer. Each call receives one message.
func (w *connectionErrorWriter) Write(message []byte) (int, error) {
	kind := connectionErrorKind(message)
	w.errors.counter.WithLabelValues(w.port, kind).Inc()
	if kind == errorPanic {
		w.report(string(message))
	}
	return len(message), nil
}

func connectionErrorKind(message []byte) string {
	switch {
	case bytes.Contains(message, []byte("TLS handshake error")):
		return errorTLSHandshake
	case bytes.Contains(message, []byte("panic serving")):
		return errorPanic
	default:
		return errorOther
	}
}
