package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/doorpond/doorpond/internal/failure"
)

// requireToken rejects requests without the operator's token, if one is configured.
func (h *handler) requireToken(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.authorized(r) {
			h.metrics.refused.Inc()
			failure.WriteProblem(w, failure.New(failure.Unauthorized, "missing or wrong operator token"))
			return
		}
		next(w, r)
	})
}

// authorized compares hashes, so that the duration reveals neither the token nor its
// length.
func (h *handler) authorized(r *http.Request) bool {
	if h.options.Token == "" {
		return true
	}
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	wantHash, givenHash := sha256.Sum256([]byte(h.options.Token)), sha256.Sum256([]byte(token))
	return bearer && subtle.ConstantTimeCompare(wantHash[:], givenHash[:]) == 1
}

// readJSON decodes a single JSON document of bounded size. Unknown fields are errors.
func (h *handler) readJSON(w http.ResponseWriter, r *http.Request, result any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, h.options.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(result)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.Wrap(err, failure.TooLarge, "read request")
	}
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "read request")
	}
	if decoder.More() {
		return failure.New(failure.InvalidRequest, "read request: unexpected data after the JSON document")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client disconnected
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // fails only if the client disconnected
}
