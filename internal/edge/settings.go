package edge

import (
	"net/netip"
	"time"

	"github.com/doorpond/doorpond/internal/settings"
)

// Settings is everything that an edge node is told at its start.
type Settings struct {
	// Node names the machine; Region and Zone are where it stands.
	Node   string `yaml:"node" validate:"required"`
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Regions names the region of each zone.
	Regions map[string]string `yaml:"regions"`

	// Callers, Readiness and Directory are IP:port of the listeners.
	Callers   string `yaml:"callers" validate:"hostname_port_ip"`
	Readiness string `yaml:"readiness" validate:"hostname_port_ip"`
	Directory string `yaml:"directory" validate:"hostname_port_ip"`
	// Peers is IP:port of the datagrams between nodes.
	Peers string `yaml:"peers" validate:"hostname_port_ip"`
	// State is IP:port on which other nodes read what this one knows.
	State string `yaml:"state" validate:"hostname_port_ip"`
	// Seeds are State addresses of some nodes, which may be gone. A node that the
	// store refuses at its start reads from them.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Metrics is IP:port of the metrics listener; empty means none.
	Metrics string `yaml:"metrics" validate:"omitempty,hostname_port_ip"`

	Store  StoreSettings  `yaml:"store"`
	Limits LimitSettings  `yaml:"limits"`
	Bounds BoundsSettings `yaml:"bounds"`

	Quarantine QuarantineSettings `yaml:"quarantine"`
}

// QuarantineSettings say how requests are treated under which replicas end.
type QuarantineSettings struct {
	// Disabled makes ends of replicas failures like others: no request is refused for them.
	Disabled bool `yaml:"off"`
	// Duration is for how long a request is refused; 0 means 10 minutes, the longest lease of
	// the store.
	Duration time.Duration `yaml:"for" validate:"gte=0,lte=10m"`
	// MaxEntries bounds the requests that are known; 0 means 1,024.
	MaxEntries int `yaml:"most" validate:"gte=0,lte=100000"`
}

// StoreSettings is the platform's store.
type StoreSettings struct {
	URL    string        `yaml:"url" validate:"required,http_url"`
	MinTTL time.Duration `yaml:"least_ttl" validate:"gte=0,lte=10m"`
}

// LimitSettings is what the node may use.
type LimitSettings struct {
	MemoryMegabytes int `yaml:"memory_mb" validate:"gte=0"`
	// ProcessorShare is the part of a core that each thread may use, and Cores
	// the number of cores. Without them the processor time that the node may use
	// is not known: it never makes the node loaded, and counts as 0 among others.
	ProcessorShare float64 `yaml:"processor_share" validate:"gte=0"`
	Cores          float64 `yaml:"cores" validate:"gte=0"`
}

// BoundsSettings is what the system promises.
type BoundsSettings struct {
	// Drain is the time after which a leaving replica must receive no request.
	Drain time.Duration `yaml:"drain" validate:"gt=0,lte=10m"`
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration `yaml:"grace" validate:"gt=0,lte=10m"`
	// Apply is the time within which a configuration must be in force.
	Apply time.Duration `yaml:"apply" validate:"gt=0,lte=10m"`
	// Evacuate is the time within which nothing more is sent to an evacuated zone; 0
	// when none is promised.
	Evacuate time.Duration `yaml:"evacuate" validate:"gte=0,lte=10m"`
	// ColdOverage and ColdSlack state how many requests a cold replica may receive in a
	// second from all nodes: the rate that its service bears, times the overage, and the
	// slack besides.
	ColdOverage float64 `yaml:"cold_overage" validate:"gte=0,lte=100"`
	ColdSlack   float64 `yaml:"cold_slack" validate:"gte=0"`
	// RetryRatio and RetrySlack bound hedges and retries of all nodes to one
	// service: the ratio of its requests and the slack in each window.
	RetryRatio float64 `yaml:"retry_ratio" validate:"gte=0,lte=10"`
	RetrySlack float64 `yaml:"retry_slack" validate:"gte=0"`
	// RetryWindow is the length of these windows; 0 when it is not stated.
	RetryWindow time.Duration `yaml:"retry_window" validate:"gte=0,lte=10m"`
	// DirectoryTTL is the longest time for which callers keep addresses.
	DirectoryTTL time.Duration `yaml:"directory_ttl" validate:"gt=0,lte=10m"`
	// LostNodes is the number of nodes whose loss at once callers must hardly
	// notice.
	LostNodes int `yaml:"lost_nodes" validate:"gte=0"`
}

// leastEntryNodes is how many nodes of a zone callers are led to at the least:
// one of them may stop as planned.
const leastEntryNodes = 2

// EntryNodes is how many nodes of a zone callers are led to.
func (b BoundsSettings) EntryNodes() int { return max(leastEntryNodes, b.LostNodes+1) }

// Processors is the processor time that the node may use, in cores; 0 when it is
// not known.
func (l LimitSettings) Processors() float64 {
	if l.Cores > 0 {
		return l.ProcessorShare * l.Cores
	}
	return l.ProcessorShare
}

// MaxStaleness is the time within which news from the store must have been acted on.
func (b BoundsSettings) MaxStaleness() time.Duration {
	if b.Evacuate > 0 {
		return min(b.Drain, b.Apply, b.Evacuate)
	}
	return min(b.Drain, b.Apply)
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	var loaded Settings
	err := settings.LoadInto(path, &loaded)
	return loaded, err
}
