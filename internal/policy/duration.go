package policy

import (
	"time"

	"github.com/rotisserie/eris"
)

// MarshalText writes the duration as text such as "60ms"; JSON and YAML use
// it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "60ms" or "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(err, "read the duration %q (write it as \"60ms\" or \"1.5s\")", text)
	}
	*d = Duration(parsed)
	return nil
}

// String returns the duration as text such as "60ms".
func (d Duration) String() string { return time.Duration(d).String() }
