package program

import (
	"errors"
	"fmt"
	"testing"

	"github.com/doorpond/doorpond/internal/settings"
)

func TestExitCode(t *testing.T) {
	invalidSettings := &settings.Error{Source: "file", Reason: "bad"}
	for _, test := range []struct {
		err  error
		want int
	}{{errors.New("broken"), 1}, {invalidSettings, 2}, {fmt.Errorf("start: %w", invalidSettings), 2}} {
		if got := exitCode(test.err); got != test.want {
			t.Errorf("exitCode(%v) = %d, want %d", test.err, got, test.want)
		}
	}
}
