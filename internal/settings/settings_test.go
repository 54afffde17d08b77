package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const valid = `region: accra
zone: accra-a
store:
  url: http://127.0.0.1:2379
machines:
  url: http://127.0.0.1:2380/targets
`

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "doorpondd.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadRefusesWithFileLineKeyAndReason(t *testing.T) {
	cases := []struct {
		name      string
		content   string
		overrides []Override
		want      string // after the file's name; whole when it starts with --
	}{
		{"unknown key", valid + "colour: red\n", nil, `:7: colour: unknown field "colour"`},
		{"unknown nested key", valid + "stop:\n  gracee: 1s\n", nil, `:8: stop.gracee: unknown field "gracee"`},
		{"wrong type", valid + "callers:\n  max_in_flight: many\n", nil,
			`:8: callers.max_in_flight: cannot unmarshal string into Go struct field Settings.Callers of type int`},
		{"impossible duration", valid + "stop:\n  grace: 400h\n", nil, ":8: stop.grace: 400h0m0s is more than 5m"},
		{"impossible choice", valid + "log:\n  format: xml\n", nil, `:8: log.format: "xml" is not one of json, text`},
		{"host name in place of IP", valid + "peers:\n  address: somewhere:1\n", nil, `:8: peers.address: "somewhere:1" is not IP:port`},
		{"port out of range", valid + "peers:\n  address: 127.0.0.1:70000\n", nil, `:8: peers.address: "127.0.0.1:70000" is not IP:port`},
		{"seed that is not an address", valid + "peers:\n  seeds: [127.0.0.1:1, two]\n", nil, `:8: peers.seeds[1]: "two" is not IP:port`},
		{"missing key", "region: accra\n", nil, ": zone: is required"},
		{"not YAML", "region: [accra\n", nil, ":1: sequence end token ']' not found"},
		{"flag of the wrong type", valid, []Override{{"stop.grace", "soon"}}, `--stop-grace: stop.grace: "soon" is not a duration such as 500ms`},
		{"flag with an impossible value", valid, []Override{{"log.level", "loud"}}, `--log-level: log.level: "loud" is not one of debug, info, warn, error`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			path := write(t, test.content)
			_, err := Load(path, test.overrides)
			if err == nil {
				t.Fatal("settings were accepted")
			}
			want := test.want
			if want[0] == ':' {
				want = path + want
			}
			if diff := cmp.Diff(want, err.Error()); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFlagsOverrideTheFile(t *testing.T) {
	overrides := []Override{{"zone", "accra-b"}, {"stop.grace", "7s"}, {"callers.max_in_flight", "9"}, {"peers.seeds", "127.0.0.1:1,127.0.0.1:2"}}
	loaded, err := Load(write(t, valid), overrides)
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Region, want.Zone = "accra", "accra-b"
	want.Store.URL, want.Machines.URL = "http://127.0.0.1:2379", "http://127.0.0.1:2380/targets"
	want.Stop.Grace = 7_000_000_000
	want.Callers.MaxInFlight = 9
	want.Peers.Seeds = []string{"127.0.0.1:1", "127.0.0.1:2"}
	if diff := cmp.Diff(want, loaded); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

func TestEveryOptionHasHelp(t *testing.T) {
	for _, option := range Options() {
		if option.Help == "" {
			t.Errorf("%s has no help", option.Key)
		}
	}
}
