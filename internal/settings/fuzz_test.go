package settings

import (
	"errors"
	"testing"
)

// FuzzLoad checks that any content is either accepted or refused with an
// *Error, and never ends the process.
func FuzzLoad(f *testing.F) {
	f.Add(valid)
	f.Add(valid + "stop:\n  grace: soon\n")
	f.Add("- a\n- b\n")
	f.Add("a: &x [*x]\n")
	f.Fuzz(func(t *testing.T, content string) {
		_, err := Load(write(t, content), nil)
		var refused *Error
		if err != nil && !errors.As(err, &refused) {
			t.Errorf("error of type %T: %v", err, err)
		}
	})
}
