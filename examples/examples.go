// Package examples contains the example configuration files. The demo loads them
// as well, which keeps them valid.
package examples

import _ "embed"

// Policies is an example policy table in the format of "doorpond apply -f".
//
//go:embed policies.yaml
var Policies []byte
