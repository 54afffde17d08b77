package policy

import (
	"time"

	"github.com/rotisserie/eris"
)

// MarshalText implements encoding.TextMarshaler, which JSON and YAML use.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(err, "parse duration %q (expected a value such as \"60ms\" or \"1.5s\")", text)
	}
	*d = Duration(parsed)
	return nil
}

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }
