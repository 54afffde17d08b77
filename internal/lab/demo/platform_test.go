package demo

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestRunPlatform(t *testing.T) {
	var out bytes.Buffer
	if err := RunPlatform(t.Context(), Options{Out: &out, Progress: io.Discard}); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "requests over"); lines != 3 {
		t.Errorf("output:\n%s", out.String())
	}
}
