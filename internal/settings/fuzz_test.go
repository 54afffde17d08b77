package settings

import (
	"errors"
	"testing"
)

// FuzzLoad checks that Load neither panics nor returns an error of a type other
// than *Error.
func FuzzLoad(f *testing.F) {
	f.Add(validYAML)
	f.Add(validYAML + "stop:\n  grace: soon\n")
	f.Add("- a\n- b\n")
	f.Add("a: &x [*x]\n")
	f.Fuzz(func(t *testing.T, content string) {
		_, err := Load(writeFile(t, content), nil)
		var settingsErr *Error
		if err != nil && !errors.As(err, &settingsErr) {
			t.Errorf("error of type %T, want *Error: %v", err, err)
		}
	})
}
