// Package examples holds files that show how doorpond is used; the demo reads
// them too, so that they cannot fall behind.
package examples

import _ "embed"

// Policies is a table for both kinds of users, as "doorpond apply -f" takes it.
//
//go:embed policies.yaml
var Policies []byte
