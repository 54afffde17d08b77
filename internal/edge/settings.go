package edge

import (
	"net/netip"
	"time"

	"github.com/doorpond/doorpond/internal/quota"
	"github.com/doorpond/doorpond/internal/settings"
)

// Settings are the settings of an edge node.
type Settings struct {
	// Node is the name of the machine; Region and Zone are its location.
	Node   string `yaml:"node" validate:"required"`
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Regions maps each zone to its region.
	Regions map[string]string `yaml:"regions"`

	// Callers, Readiness and Directory are the IP:port of the listeners.
	Callers   string `yaml:"callers" validate:"hostname_port_ip"`
	Readiness string `yaml:"readiness" validate:"hostname_port_ip"`
	Directory string `yaml:"directory" validate:"hostname_port_ip"`
	// Peers is the IP:port for datagrams between nodes.
	Peers string `yaml:"peers" validate:"hostname_port_ip"`
	// State is the IP:port on which other nodes and operators read this node's state.
	State string `yaml:"state" validate:"hostname_port_ip"`
	// Seeds are the State addresses of some nodes, which may be gone. A node that cannot
	// read the store when it starts reads from them.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Metrics is the IP:port of the metrics listener; empty disables it.
	Metrics string `yaml:"metrics" validate:"omitempty,hostname_port_ip"`

	Store  StoreSettings  `yaml:"store"`
	Limits LimitSettings  `yaml:"limits"`
	Bounds BoundsSettings `yaml:"bounds"`

	Quarantine QuarantineSettings `yaml:"quarantine"`
}

// QuarantineSettings configure the quarantine of requests that crash replicas.
type QuarantineSettings struct {
	// Disabled treats crashes of replicas like other failures: no request is refused for them.
	Disabled bool `yaml:"off"`
	// Duration is how long a request is refused; 0 means 10 minutes, the longest lease of
	// the store.
	Duration time.Duration `yaml:"for" validate:"gte=0,lte=10m"`
	// MaxEntries bounds the number of known requests; 0 means 1,024.
	MaxEntries int `yaml:"most" validate:"gte=0,lte=100000"`
}

// StoreSettings configure the access to the platform's store.
type StoreSettings struct {
	URL string `yaml:"url" validate:"required,http_url"`
	// MinTTL is the shortest lease that the store grants.
	MinTTL time.Duration `yaml:"least_ttl" validate:"gte=0,lte=10m"`
}

// LimitSettings are the resources that the node may use.
type LimitSettings struct {
	MemoryMegabytes int `yaml:"memory_mb" validate:"gte=0"`
	// ProcessorShare is the share of a core that each thread may use, and Cores the number
	// of cores. Without them the processor limit is unknown: processor use never marks the
	// node as overloaded, and its capacity counts as 0.
	ProcessorShare float64 `yaml:"processor_share" validate:"gte=0"`
	Cores          float64 `yaml:"cores" validate:"gte=0"`
}

// BoundsSettings are the service-level bounds of the system.
type BoundsSettings struct {
	// Drain is the time after which a leaving replica must not receive requests.
	Drain time.Duration `yaml:"drain" validate:"gt=0,lte=10m"`
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration `yaml:"grace" validate:"gt=0,lte=10m"`
	// Apply is the time within which a new configuration must be in force.
	Apply time.Duration `yaml:"apply" validate:"gt=0,lte=10m"`
	// Evacuate is the time after which an evacuated zone must not receive requests; 0 means
	// that there is no such bound.
	Evacuate time.Duration `yaml:"evacuate" validate:"gte=0,lte=10m"`
	// ColdOverage and ColdSlack bound the requests per second that a cold replica receives
	// from all nodes: the rate that its service can handle, times ColdOverage, plus ColdSlack.
	ColdOverage float64 `yaml:"cold_overage" validate:"gte=0,lte=100"`
	ColdSlack   float64 `yaml:"cold_slack" validate:"gte=0"`
	// RetryRatio and RetrySlack bound the hedges and retries of all nodes to one service in
	// each window: its requests times RetryRatio, plus RetrySlack.
	RetryRatio float64 `yaml:"retry_ratio" validate:"gte=0,lte=10"`
	RetrySlack float64 `yaml:"retry_slack" validate:"gte=0"`
	// RetryWindow is the length of these windows; 0 means unspecified.
	RetryWindow time.Duration `yaml:"retry_window" validate:"gte=0,lte=10m"`
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of a tenant with a limit that
	// all nodes admit: in each window, (rate x window + burst) x (1 + QuotaOverage) + QuotaSlack.
	// Without QuotaWindow, tenants are not limited.
	QuotaWindow  time.Duration `yaml:"quota_window" validate:"gte=0,lte=10m"`
	QuotaOverage float64       `yaml:"quota_overage" validate:"gte=0,lte=100"`
	QuotaSlack   float64       `yaml:"quota_slack" validate:"gte=0"`
	// DirectoryTTL is the longest time for which callers cache addresses.
	DirectoryTTL time.Duration `yaml:"directory_ttl" validate:"gt=0,lte=10m"`
	// LostNodes is the number of nodes whose simultaneous loss must hardly affect callers.
	LostNodes int `yaml:"lost_nodes" validate:"gte=0"`
}

// Quota returns the bounds of the tenants' limits.
func (b BoundsSettings) Quota() quota.Bounds {
	return quota.Bounds{Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// minEntryNodes is the minimum number of entry nodes per zone, so that one can shut down.
const minEntryNodes = 2

// EntryNodes returns the number of nodes per zone that callers are directed to.
func (b BoundsSettings) EntryNodes() int { return max(minEntryNodes, b.LostNodes+1) }

// Processors returns the processor time that the node may use, in cores; 0 means unknown.
func (l LimitSettings) Processors() float64 {
	if l.Cores > 0 {
		return l.ProcessorShare * l.Cores
	}
	return l.ProcessorShare
}

// MaxStaleness returns the time within which changes in the store must be in force.
func (b BoundsSettings) MaxStaleness() time.Duration {
	if b.Evacuate > 0 {
		return min(b.Drain, b.Apply, b.Evacuate)
	}
	return min(b.Drain, b.Apply)
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (Settings, error) {
	var loaded Settings
	err := settings.LoadInto(path, &loaded)
	return loaded, err
}
