package failure

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
)

// declaredKinds returns the names of the Kind constants in the source, to detect
// kinds without a response.
func declaredKinds(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "failure.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue {
			return true
		}
		if kind, isName := spec.Type.(*ast.Ident); isName && kind.Name == "Kind" {
			names = append(names, spec.Names[0].Name)
		}
		return true
	})
	return names
}

func TestResponseForEachKind(t *testing.T) {
	declared := declaredKinds(t)
	if len(declared) == 0 || len(declared) != len(Kinds()) {
		t.Errorf("%d kinds are declared, %d have a response", len(declared), len(Kinds()))
	}
	for _, kind := range Kinds() {
		response := Lookup(kind)
		if response.Status < 400 || response.Title == "" {
			t.Errorf("%s: response %+v has no error status or no title", kind, response)
		}
	}
}

func TestFromUnwraps(t *testing.T) {
	inner := New(Overloaded, "too many queries")
	cases := []struct {
		name   string
		err    error
		kind   Kind
		notRun bool
	}{
		{"unwrapped", inner, Overloaded, true},
		{"wrapped", eris.Wrap(inner, "search"), Overloaded, true},
		{"wrapped with a kind", Wrap(errors.New("reset"), OutcomeUnknown, "call"), OutcomeUnknown, false},
		{"unknown", errors.New("unexpected"), Internal, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := From(test.err)
			if got.Kind != test.kind || got.NotRun != test.notRun {
				t.Errorf("got kind %s and NotRun %v, want %s and %v", got.Kind, got.NotRun, test.kind, test.notRun)
			}
		})
	}
}

func TestWriteProblem(t *testing.T) {
	recorder := httptest.NewRecorder()
	WriteProblem(recorder, New(Overloaded, "12 queries in flight").WithRetryAfter(1100*time.Millisecond))
	if got := recorder.Header().Get("Retry-After"); got != "2" {
		t.Errorf("got Retry-After %q, want 1.1 s rounded up to 2", got)
	}
	if got := recorder.Header().Get("Content-Type"); got != ProblemContentType {
		t.Errorf("got Content-Type %q, want %q", got, ProblemContentType)
	}
	var problem client.Problem
	if err := json.Unmarshal(recorder.Body.Bytes(), &problem); err != nil {
		t.Fatal(err)
	}
	want := client.Problem{
		Type: "https://doorpond.dev/problems/overloaded", Title: Lookup(Overloaded).Title, Status: 429,
		Detail: "12 queries in flight", Kind: "overloaded", NotRun: true, RetryAfterMilliseconds: 1100,
	}
	if diff := cmp.Diff(want, problem); diff != "" {
		t.Errorf("problem (-want +got):\n%s", diff)
	}
}
