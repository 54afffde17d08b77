package platform

import (
	"encoding/json"
	"net/http"

	"github.com/doorpond/doorpond/internal/topology"
)

// The paths of the platform's administration. Each POST takes an AdminRequest.
const (
	DescriptionPath = "/standin/platform"
	PublishPath     = "/standin/publish"
	RetirePath      = "/standin/retire"
	AddPath         = "/standin/replicas/add"
	RemovePath      = "/standin/replicas/remove"
	KillPath        = "/standin/replicas/kill"
	RestartPath     = "/standin/replicas/restart"
	DrainPath       = "/standin/replicas/drain"
	ExecutionsPath  = "/standin/executions"
)

const maximumBodyBytes = 64 << 10

// AdminRequest is the body of every administration call; each path reads the
// fields that it needs.
type AdminRequest struct {
	// Corpus and Shards (per index) are for PublishPath.
	Corpus string `json:"corpus,omitempty"`
	Shards int    `json:"shards,omitempty"`
	// Snapshot, with Corpus, is for RetirePath.
	Snapshot uint64 `json:"snapshot,omitempty"`
	// Group is for AddPath.
	Group string `json:"group,omitempty"`
	// Address is for the other paths of replicas.
	Address string `json:"address,omitempty"`
}

// AdminReply is the answer to every administration call that succeeded.
type AdminReply struct {
	// Snapshot is the ID that PublishPath published.
	Snapshot uint64 `json:"snapshot,omitempty"`
	// Address is where the replica that was started listens.
	Address string `json:"address,omitempty"`
}

// Description says where everything listens.
type Description struct {
	StoreURL    string               `json:"store_url"`
	MachinesURL string               `json:"machines_url"`
	AdminURL    string               `json:"admin_url"`
	Backends    []BackendDescription `json:"backends"`
}

// BackendDescription is one running replica.
type BackendDescription struct {
	Address     string         `json:"address"`
	Group       string         `json:"group"`
	Incarnation string         `json:"incarnation"`
	Place       topology.Place `json:"place"`
}

// Describe returns where everything listens.
func (p *Platform) Describe() Description {
	description := Description{StoreURL: p.StoreURL(), MachinesURL: p.MachinesURL(), AdminURL: p.AdminURL()}
	for _, server := range p.Backends() {
		options := server.Replica.Options()
		description.Backends = append(description.Backends, BackendDescription{
			Address:     server.Address,
			Group:       options.Group,
			Incarnation: options.Incarnation,
			Place:       options.Place,
		})
	}
	return description
}

func (p *Platform) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+DescriptionPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Describe()) })
	mux.HandleFunc("GET "+ExecutionsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Executions()) })
	mux.HandleFunc("POST "+PublishPath, administer(p.adminPublish))
	mux.HandleFunc("POST "+RetirePath, administer(p.adminRetire))
	mux.HandleFunc("POST "+AddPath, administer(p.adminAdd))
	mux.HandleFunc("POST "+RestartPath, administer(p.adminRestart))
	mux.HandleFunc("POST "+RemovePath, administer(onAddress(p.RemoveReplica)))
	mux.HandleFunc("POST "+KillPath, administer(onAddress(p.KillReplica)))
	mux.HandleFunc("POST "+DrainPath, administer(onAddress(p.DrainReplica)))
	return mux
}

func (p *Platform) adminPublish(request AdminRequest) (AdminReply, error) {
	snapshot, err := p.Publish(request.Corpus, request.Shards)
	return AdminReply{Snapshot: snapshot}, err
}

func (p *Platform) adminRetire(request AdminRequest) (AdminReply, error) {
	return AdminReply{}, p.Retire(request.Corpus, request.Snapshot)
}

func (p *Platform) adminAdd(request AdminRequest) (AdminReply, error) {
	server, err := p.AddReplica(request.Group)
	if err != nil {
		return AdminReply{}, err
	}
	return AdminReply{Address: server.Address}, nil
}

func (p *Platform) adminRestart(request AdminRequest) (AdminReply, error) {
	server, err := p.RestartReplica(request.Address)
	if err != nil {
		return AdminReply{}, err
	}
	return AdminReply{Address: server.Address}, nil
}

func onAddress(run func(address string) error) func(AdminRequest) (AdminReply, error) {
	return func(request AdminRequest) (AdminReply, error) {
		return AdminReply{Address: request.Address}, run(request.Address)
	}
}

// administer decodes a call, runs it, and answers 400 with the error's text
// when it fails.
func administer(run func(AdminRequest) (AdminReply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request AdminRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := run(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, reply)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client is gone if this fails
}
