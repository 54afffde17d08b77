package httpsd_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/machines/httpsd"
	"github.com/doorpond/doorpond/internal/topology"
)

func TestList(t *testing.T) {
	backend := `{"targets":["10.0.0.1:9000","not-an-address"],"labels":{"role":"backend","group":"g","region":"r","zone":"z","state":"%STATE%","incarnation":"i","slots":"5","connections":"-1"}}`
	replica := topology.Replica{Address: "10.0.0.1:9000", Incarnation: "i", Group: "g",
		Place: topology.Place{Region: "r", Zone: "z"}, Slots: 5}
	leaving := replica
	leaving.State = topology.ReplicaLeaving
	cases := []struct {
		name   string
		status int
		body   string
		want   machines.List
		fails  bool
	}{
		{"empty", 200, `[]`, machines.List{}, false},
		{"live", 200, `[` + withState(backend, "live") + `]`, machines.List{Replicas: []topology.Replica{replica}}, false},
		{"leaving", 200, `[` + withState(backend, "leaving") + `]`, machines.List{Replicas: []topology.Replica{leaving}}, false},
		{"duplicate and leaving daemons", 200, `[{"targets":["10.0.0.3:1","10.0.0.2:1"],"labels":{"role":"daemon"}},
			{"targets":["10.0.0.2:1"],"labels":{"role":"daemon"}},
			{"targets":["10.0.0.4:1"],"labels":{"role":"daemon","state":"leaving"}}]`,
			machines.List{Daemons: []string{"10.0.0.2:1", "10.0.0.3:1"}}, false},
		{"unknown roles", 200, `[{"targets":["10.0.0.9:1"],"labels":{"role":"printer"}},{"targets":["10.0.0.9:1"]}]`, machines.List{}, false},
		{"error status", 500, `[]`, machines.List{}, true},
		{"not JSON", 200, `[`, machines.List{}, true},
		{"not an array", 200, `{"targets":[]}`, machines.List{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			got, err := httpsd.New(server.URL, server.Client()).List(t.Context())
			if (err != nil) != c.fails {
				t.Fatalf("error %v", err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func withState(group, state string) string { return strings.ReplaceAll(group, "%STATE%", state) }
