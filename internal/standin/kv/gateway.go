package kv

import (
	"encoding/json"
	"net/http"
)

// guard counts a request and applies the faults that come before it is run.
func (s *Server) guard(path string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(path, func(c *Counter) { c.Requests++ })
		if s.faults.current().Outage {
			s.cut(path)
		}
		if !s.faults.admit() {
			s.count(path, func(c *Counter) { c.Refused++ })
			writeError(w, errTooManyRequests)
			return
		}
		if err := s.faults.delay(r.Context()); err != nil {
			return
		}
		next(w, r)
	}
}

// cut ends the connection without an answer.
func (s *Server) cut(path string) {
	s.count(path, func(c *Counter) { c.Cut++ })
	panic(http.ErrAbortHandler)
}

// handle routes a unary endpoint.
func handle[Request, Response any](s *Server, path string, run func(Request) (Response, error)) {
	s.mux.HandleFunc("POST "+path, s.guard(path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		body := http.MaxBytesReader(w, r.Body, maximumBodyBytes)
		if err := json.NewDecoder(body).Decode(&request); err != nil {
			writeError(w, &Status{codeInvalidArgument, err.Error()})
			return
		}
		response, err := run(request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, response)
	}))
}

// acknowledged runs a write and then loses its acknowledgement if that fault
// is on. A write that was refused is always answered.
func acknowledged[Request, Response any](s *Server, run func(Request) (Response, error)) func(Request) (Response, error) {
	return func(request Request) (Response, error) {
		response, err := run(request)
		if err == nil && s.faults.takeLostAcknowledgement() {
			panic(http.ErrAbortHandler)
		}
		return response, err
	}
}

func (s *Server) readRange(request RangeRequest) (RangeResponse, error) {
	stale := s.faults.current().StaleRevision
	if stale > 0 && request.Revision == 0 {
		request.Revision = Integer(min(stale, s.Store.Revision()))
		response, err := s.Store.Range(request)
		response.Header = &Header{Revision: request.Revision}
		return response, err
	}
	return s.Store.Range(request)
}

// keepAlive answers the first message of the keep-alive stream.
func (s *Server) keepAlive(request LeaseRequest) (streamed[LeaseResponse], error) {
	response, err := s.Store.KeepAlive(request)
	return streamed[LeaseResponse]{Result: response}, err
}

// serveWatch streams one message a line. An outage that begins later cuts it
// at the next message.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request WatchRequest
	body := http.MaxBytesReader(w, r.Body, maximumBodyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		writeError(w, &Status{codeInvalidArgument, err.Error()})
		return
	}
	if request.Create == nil {
		writeError(w, errWatchOnly)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder, controller := json.NewEncoder(w), http.NewResponseController(w)
	err := s.Store.Watch(r.Context(), *request.Create, func(response WatchResponse) error {
		if s.faults.current().Outage {
			s.cut("/v3/watch")
		}
		if err := encoder.Encode(streamed[WatchResponse]{Result: response}); err != nil {
			return err
		}
		return controller.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
