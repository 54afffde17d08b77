package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

// replicaProcessCount is the number of processes that the replicas of each group are divided
// among. Each shard has replicas in all of them, so that none is lost with one that does
// not run.
const replicaProcessCount = 4

// replicaProcesses runs the replicas apart from the process of the callers. Replicas that share a
// process with callers stop answering whenever it gets no processor time, which says nothing about
// the daemons.
type replicaProcesses struct {
	processes []*Process
	// listed are the replicas of all processes.
	listed []platform.BackendDescription
}

func (r *replicaProcesses) start(ctx context.Context, program, directory string) error {
	for part := range replicaProcessCount {
		var description platform.Description
		readyFile := filepath.Join(directory, fmt.Sprintf("replicas-%d.json", part))
		arguments := []string{"platform", "--parts", strconv.Itoa(replicaProcessCount), "--part", strconv.Itoa(part)}
		process, err := startProcess(ctx, program, readyFile, arguments, &description)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, process)
		r.listed = append(r.listed, description.Backends...)
	}
	return nil
}

func (r *replicaProcesses) kill() {
	for _, process := range r.processes {
		process.Kill()
	}
}

// each calls a function for each replica for which matches returns true.
func (r *replicaProcesses) each(matches func(group string) bool, call func(address string) error) error {
	for _, replica := range r.listed {
		if !matches(replica.Group) {
			continue
		}
		if err := call(replica.Address); err != nil {
			return err
		}
	}
	return nil
}

// setFaults replaces the faults of replicas.
func (r *replicaProcesses) setFaults(ctx context.Context, matches func(group string) bool, faults backend.Faults) error {
	return r.each(matches, func(address string) error {
		return administer(ctx, http.MethodPost, address, backend.FaultsPath, faults, nil)
	})
}

// setTiming replaces the service times of replicas.
func (r *replicaProcesses) setTiming(ctx context.Context, matches func(group string) bool, timing backend.Timing) error {
	return r.each(matches, func(address string) error {
		return administer(ctx, http.MethodPost, address, backend.TimingPath, timing, nil)
	})
}

// executions sums over all replicas how often the operation of each key was run.
func (r *replicaProcesses) executions(ctx context.Context) (map[string]int, error) {
	total := make(map[string]int)
	err := r.each(isCallGroup, func(address string) error {
		var counts map[string]int
		if err := administer(ctx, http.MethodGet, address, backend.ExecutionsPath, nil, &counts); err != nil {
			return err
		}
		for key, count := range counts {
			total[key] += count
		}
		return nil
	})
	return total, err
}

// isCallGroup reports whether a group runs the operations that the callers of the proofs send.
func isCallGroup(group string) bool { return group == platform.RefundService }

func isSearchGroup(group string) bool { return !isCallGroup(group) }

// administrationClient opens a connection for each call, so that replicas keep theirs for daemons.
var administrationClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// administer calls an administration path of a replica. body and answer may be nil.
func administer(ctx context.Context, method, address, path string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode administration call")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrap(err, "make administration call")
	}
	response, err := administrationClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "call %s of the replica at %s", path, address)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s of the replica at %s answered %s", path, address, response.Status)
	}
	if answer == nil {
		return nil
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(answer), "decode %s of the replica at %s", path, address)
}
