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

// guarded lets requests through that carry the operator's token, where one is
// configured.
func (h *handler) guarded(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.authorized(r) {
			h.metrics.refused.Inc()
			failure.WriteProblem(w, failure.New(failure.Unauthorized, "this needs the operator's token"))
			return
		}
		next(w, r)
	})
}

// authorized compares hashes, so that the time taken tells nothing.
func (h *handler) authorized(r *http.Request) bool {
	if h.options.Token == "" {
		return true
	}
	given, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	wanted, offered := sha256.Sum256([]byte(h.options.Token)), sha256.Sum256([]byte(given))
	return bearer && subtle.ConstantTimeCompare(wanted[:], offered[:]) == 1
}

// readJSON decodes a bounded body strictly.
func (h *handler) readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, h.options.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.Wrap(err, failure.TooLarge, "read the request")
	}
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "read the request")
	}
	if decoder.More() {
		return failure.New(failure.InvalidRequest, "read the request: more follows the JSON document")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the operator is gone if this fails
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // the asker is gone if this fails
}
