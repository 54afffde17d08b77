// Package httpsd reads the platform's machine list in the Prometheus HTTP
// service-discovery JSON format
// (https://prometheus.io/docs/prometheus/latest/http_sd/).
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

// maxListBytes is the maximum size of a response.
const maxListBytes = 64 << 20

// targetGroup is one entry of the list.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Lister reads the machine list from a URL.
type Lister struct {
	url    string
	client *http.Client
}

var _ machines.Lister = (*Lister)(nil)

// New returns a Lister. If client is nil, it uses a client without a timeout, so
// that only the context of a call limits its duration.
func New(url string, client *http.Client) *Lister {
	if client == nil {
		client = &http.Client{}
	}
	return &Lister{url: url, client: client}
}

// List requests the list. It skips entries with an unknown role or an address
// that is not IP:port.
func (l *Lister) List(ctx context.Context) (machines.List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return machines.List{}, eris.Wrap(err, "create machine list request")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return machines.List{}, eris.Wrap(err, "request machine list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return machines.List{}, eris.Errorf("request machine list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return machines.List{}, eris.Wrap(err, "read machine list")
	}
	if len(body) > maxListBytes {
		return machines.List{}, eris.Errorf("read machine list: more than %d bytes", maxListBytes)
	}
	return Decode(body)
}

// Decode decodes a response. It skips the same entries as Lister.List.
func Decode(body []byte) (machines.List, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return machines.List{}, eris.Wrap(err, "decode machine list")
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
			list.Replicas = append(list.Replicas, newReplica(target, group.Labels))
		case machines.RoleDaemon:
			if group.Labels[machines.LabelState] != machines.StateLeaving {
				list.Daemons = append(list.Daemons, target)
			}
		}
	}
}

func newReplica(address string, labels map[string]string) topology.Replica {
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
		Slots:           parseCount(labels[machines.LabelSlots]),
		ConnectionLimit: parseCount(labels[machines.LabelConnections]),
	}
}

// parseCount returns the value of a numeric label, or 0, which means unknown, if it
// is missing, malformed or negative.
func parseCount(label string) int {
	number, err := strconv.Atoi(label)
	if err != nil || number < 0 {
		return 0
	}
	return number
}
