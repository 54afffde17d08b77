package main

import "testing"

func TestParseSeeds(t *testing.T) {
	cases := []struct {
		name, text  string
		first, last uint64
		fails       bool
	}{
		{name: "range", text: "1-1000", first: 1, last: 1000},
		{name: "one", text: "7", first: 7, last: 7},
		{name: "backwards", text: "9-3", fails: true},
		{name: "no number", text: "a-b", fails: true},
		{name: "no end", text: "1-", fails: true},
		{name: "empty", text: "", fails: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first, last, err := parseSeeds(test.text)
			if first != test.first || last != test.last || (err != nil) != test.fails {
				t.Errorf("%d-%d, %v", first, last, err)
			}
		})
	}
}
