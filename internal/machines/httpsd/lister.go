// Package httpsd reads the platform's machine list in the HTTP
// service-discovery JSON format (source: the Prometheus HTTP SD format,
// https://prometheus.io/docs/prometheus/latest/http_sd/).
package httpsd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/topology"
)

// maxListBytes bounds one reading: 21,000 replicas of about 300 bytes each
// fit many times.
const maxListBytes = 64 << 20

// targetGroup is one entry of the format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Lister reads the list from one URL.
type Lister struct {
	url    string
	client *http.Client
}

var _ machines.Lister = (*Lister)(nil)

// New returns a Lister; a nil client means a new one without a time limit,
// so that ctx alone bounds a reading.
func New(url string, client *http.Client) *Lister {
	if client == nil {
		client = &http.Client{}
	}
	return &Lister{url: url, client: client}
}

// List reads the list once. Entries whose address is not IP:port, and roles
// that doorpond does not know, are left out.
func (l *Lister) List(ctx context.Context) (machines.List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return machines.List{}, eris.Wrap(err, "make the machine list's request")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return machines.List{}, eris.Wrap(err, "ask for the machine list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return machines.List{}, eris.Errorf("ask for the machine list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return machines.List{}, eris.Wrap(err, "read the machine list")
	}
	if len(body) > maxListBytes {
		return machines.List{}, eris.Errorf("read the machine list: over %d bytes", maxListBytes)
	}
	return Decode(body)
}

// Decode reads the format.
func Decode(body []byte) (machines.List, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return machines.List{}, eris.Wrap(err, "decode the machine list")
	}
	var list machines.List
	for _, group := range groups {
		addGroup(&list, group)
	}
	slices.Sort(list.Daemons)
	list.Daemons = slices.Compact(list.Daemons)
	return list, nil
}

func addGroup(list *machines.List, group targetGroup) {
	for _, target := range group.Targets {
		if _, err := netip.ParseAddrPort(target); err != nil {
			continue
		}
		switch group.Labels[machines.LabelRole] {
		case machines.RoleBackend:
			list.Replicas = append(list.Replicas, replica(target, group.Labels))
		case machines.RoleDaemon:
			if group.Labels[machines.LabelState] != machines.StateLeaving {
				list.Daemons = append(list.Daemons, target)
			}
		}
	}
}

func replica(address string, labels map[string]string) topology.Replica {
	state := topology.ReplicaServing
	if labels[machines.LabelState] == machines.StateLeaving {
		state = topology.ReplicaLeaving
	}
	return topology.Replica{
		Address:         address,
		Incarnation:     labels[machines.LabelIncarnation],
		Group:           labels[machines.LabelGroup],
		Place:           topology.Place{Region: labels[machines.LabelRegion], Zone: labels[machines.LabelZone]},
		State:           state,
		Slots:           count(labels[machines.LabelSlots]),
		ConnectionLimit: count(labels[machines.LabelConnections]),
	}
}

// count reads a label that is a number; a missing, malformed or negative one
// is 0, which means unknown.
func count(label string) int {
	number, err := strconv.Atoi(label)
	if err != nil || number < 0 {
		return 0
	}
	return number
}
