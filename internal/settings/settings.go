// Package settings loads the daemon's settings from a YAML file and from flags
// that override its keys. Unknown keys, wrong types and invalid values are
// reported with file, line, key and reason.
package settings

import (
	"time"

	"github.com/doorpond/doorpond/internal/certificates"
)

// Settings holds all settings of a daemon.
type Settings struct {
	Region string `yaml:"region" validate:"required" help:"region where the daemon runs"`
	Zone   string `yaml:"zone" validate:"required" help:"zone where the daemon runs"`

	Callers        Callers        `yaml:"callers"`
	Peers          Peers          `yaml:"peers"`
	Administration Administration `yaml:"administration"`
	Store          Store          `yaml:"store"`
	Machines       Machines       `yaml:"machines"`
	Backends       Backends       `yaml:"backends"`
	Membership     Membership     `yaml:"membership"`
	Stop           Stop           `yaml:"stop"`
	Log            Log            `yaml:"log"`
}

// Callers configures the listener for queries and calls.
type Callers struct {
	Address       string        `yaml:"address" validate:"hostname_port_ip" help:"IP:port for callers"`
	MaxBodyBytes  int64         `yaml:"max_body_bytes" validate:"gte=1024,lte=67108864" help:"greatest size of a request's body, in bytes"`
	MaxInFlight   int           `yaml:"max_in_flight" validate:"gte=1,lte=1000000" help:"greatest number of queries in flight"`
	HeaderTimeout time.Duration `yaml:"header_timeout" validate:"gte=10ms,lte=1m" help:"time allowed for a request's header"`
	BodyTimeout   time.Duration `yaml:"body_timeout" validate:"gte=10ms,lte=5m" help:"time allowed for a whole request to be read"`
	WriteTimeout  time.Duration `yaml:"write_timeout" validate:"gte=10ms,lte=5m" help:"time allowed for a caller to take its answer"`
	// TLS is enabled if any of its files is set.
	TLS certificates.Files `yaml:"tls"`
}

// Peers configures the listener for other daemons.
type Peers struct {
	Address string   `yaml:"address" validate:"hostname_port_ip" help:"IP:port for other daemons"`
	Seeds   []string `yaml:"seeds" validate:"dive,hostname_port_ip" help:"IP:port of other daemons to join, besides those on the machine list"`
	// TLS is enabled if any of its files is set.
	TLS certificates.Files `yaml:"tls"`
}

// Administration configures the listener for operators, probes and metrics.
type Administration struct {
	Address   string `yaml:"address" validate:"hostname_port_ip" help:"IP:port for operators, probes and metrics"`
	TokenFile string `yaml:"token_file" help:"file holding the token that changes must carry; empty: no token is asked for"`
	// TLS is enabled if any of its files is set.
	TLS certificates.Files `yaml:"tls"`
}

// Store configures access to the platform's key-value store.
type Store struct {
	URL     string        `yaml:"url" validate:"required,http_url" help:"URL of the store's JSON gateway"`
	Timeout time.Duration `yaml:"timeout" validate:"gte=10ms,lte=1m" help:"time allowed for one request to the store"`
	// WatchersPerZone is the number of daemons in a zone that watch the store.
	WatchersPerZone int `yaml:"watchers_per_zone" validate:"gte=1,lte=100" help:"number of daemons in a zone that follow the store"`
	// TLS is enabled if any of its files is set.
	TLS certificates.Files `yaml:"tls"`
}

// Machines configures access to the platform's machine list.
type Machines struct {
	URL      string        `yaml:"url" validate:"required,http_url" help:"URL of the machine list (HTTP service discovery JSON)"`
	Interval time.Duration `yaml:"interval" validate:"gte=100ms,lte=10m" help:"time between readings of the machine list"`
}

// Backends configures connections to back ends.
type Backends struct {
	Protocol string `yaml:"protocol" validate:"oneof=http1 h2c" help:"protocol towards back ends: http1 or h2c"`
	// TLS is enabled if any of its files is set.
	TLS certificates.Files `yaml:"tls"`
}

// Membership configures the membership protocol between daemons.
type Membership struct {
	Period time.Duration `yaml:"period" validate:"gte=50ms,lte=1m" help:"time between probes of other daemons"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	Grace   time.Duration `yaml:"grace" validate:"gte=0,lte=5m" help:"time during which a stopping daemon still takes requests"`
	Timeout time.Duration `yaml:"timeout" validate:"gte=100ms,lte=30m" help:"longest time to wait for requests in flight"`
}

// Log configures logging to standard error.
type Log struct {
	Format string `yaml:"format" validate:"oneof=json text" help:"format of log lines: json or text"`
	Level  string `yaml:"level" validate:"oneof=debug info warn error" help:"least level of log lines"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Callers: Callers{
			Address:       "127.0.0.1:7070",
			MaxBodyBytes:  1 << 20,
			MaxInFlight:   2000,
			HeaderTimeout: 5 * time.Second,
			BodyTimeout:   15 * time.Second,
			WriteTimeout:  30 * time.Second,
		},
		Peers:          Peers{Address: "127.0.0.1:7071"},
		Administration: Administration{Address: "127.0.0.1:7072"},
		Store:          Store{Timeout: 2 * time.Second, WatchersPerZone: 2},
		Machines:       Machines{Interval: 2 * time.Second},
		Backends:       Backends{Protocol: "http1"},
		Membership:     Membership{Period: time.Second},
		Stop:           Stop{Grace: 2 * time.Second, Timeout: 30 * time.Second},
		Log:            Log{Format: "json", Level: "info"},
	}
}
