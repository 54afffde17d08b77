package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validYAML = `region: accra
zone: accra-a
store:
  url: http://127.0.0.1:2379
machines:
  url: http://127.0.0.1:2380/targets
`

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "doorpondd.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadInvalidSettings(t *testing.T) {
	cases := []struct {
		name      string
		content   string
		overrides []Override
		want      string // prefixed with the file's path if it starts with a colon
	}{
		{"unknown key", validYAML + "colour: red\n", nil, `:7: colour: unknown field "colour"`},
		{"unknown nested key", validYAML + "stop:\n  gracee: 1s\n", nil, `:8: stop.gracee: unknown field "gracee"`},
		{"wrong type", validYAML + "callers:\n  max_in_flight: many\n", nil,
			`:8: callers.max_in_flight: cannot unmarshal string into Go struct field Settings.Callers of type int`},
		{"duration out of range", validYAML + "stop:\n  grace: 400h\n", nil, ":8: stop.grace: 400h0m0s is more than 5m"},
		{"value not in enumeration", validYAML + "log:\n  format: xml\n", nil, `:8: log.format: "xml" is not one of json, text`},
		{"host name instead of IP", validYAML + "peers:\n  address: somewhere:1\n", nil, `:8: peers.address: "somewhere:1" is not IP:port`},
		{"port out of range", validYAML + "peers:\n  address: 127.0.0.1:70000\n", nil, `:8: peers.address: "127.0.0.1:70000" is not IP:port`},
		{"invalid seed address", validYAML + "peers:\n  seeds: [127.0.0.1:1, two]\n", nil, `:8: peers.seeds[1]: "two" is not IP:port`},
		{"missing key", "region: accra\n", nil, ": zone: is required"},
		{"invalid YAML", "region: [accra\n", nil, ":1: sequence end token ']' not found"},
		{"flag with wrong type", validYAML, []Override{{"stop.grace", "soon"}}, `--stop-grace: stop.grace: "soon" is not a duration such as 500ms`},
		{"flag with invalid value", validYAML, []Override{{"log.level", "loud"}}, `--log-level: log.level: "loud" is not one of debug, info, warn, error`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			path := writeFile(t, test.content)
			_, err := Load(path, test.overrides)
			if err == nil {
				t.Fatal("Load accepted invalid settings")
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

func TestLoadOverrides(t *testing.T) {
	overrides := []Override{{"zone", "accra-b"}, {"stop.grace", "7s"}, {"callers.max_in_flight", "9"}, {"peers.seeds", "127.0.0.1:1,127.0.0.1:2"}}
	loaded, err := Load(writeFile(t, validYAML), overrides)
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

func TestOptionsHaveHelp(t *testing.T) {
	for _, option := range Options() {
		if option.Help == "" {
			t.Errorf("option %s has no help text", option.Key)
		}
	}
}
