package program

import (
	"errors"
	"fmt"
	"testing"

	"github.com/doorpond/doorpond/internal/settings"
)

func TestExitCode(t *testing.T) {
	refused := &settings.Error{Source: "file", Reason: "bad"}
	for _, test := range []struct {
		err  error
		want int
	}{{errors.New("broken"), 1}, {refused, 2}, {fmt.Errorf("start: %w", refused), 2}} {
		if got := exitCode(test.err); got != test.want {
			t.Errorf("%v: %d, want %d", test.err, got, test.want)
		}
	}
}
