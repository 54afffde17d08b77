package main

import "testing"

func TestParseSeeds(t *testing.T) {
	cases := []struct {
		name, text  string
		first, last uint64
		wantErr     bool
	}{
		{name: "range", text: "1-1000", first: 1, last: 1000},
		{name: "single seed", text: "7", first: 7, last: 7},
		{name: "reversed range", text: "9-3", wantErr: true},
		{name: "not a number", text: "a-b", wantErr: true},
		{name: "missing end", text: "1-", wantErr: true},
		{name: "empty", text: "", wantErr: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first, last, err := parseSeeds(test.text)
			if first != test.first || last != test.last || (err != nil) != test.wantErr {
				t.Errorf("got seeds %d-%d, error %v", first, last, err)
			}
		})
	}
}
