package entry

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"auburnstep.example/auburnstep/internal/openai"
	"auburnstep.example/auburnstep/internal/verdict"
)

// writeError writes a response with the OpenAI error shape and the verdict.
func writeError(w http.ResponseWriter, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	// A write error is ignored, since it means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(errorBody(e))
}

func errorBody(e *verdict.Error) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.ErrorDetail{Message: e.Message, Type: e.Type, Code: e.Code}}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readBody reads the body of an announcement, which may have at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *verdict.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, requestTooLarge(limit)
	case err != nil:
		return nil, bodyUnreadable(err)
	}
	clearReadDeadline(w)
	return body, nil
}

// setReadDeadline bounds the time to read a request body. After a refusal net/http
// reads up to 256 KiB of the remaining body before it sends the response; the
// deadline also bounds this read.
func setReadDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}

// clearReadDeadline removes the deadline after the body has been read. While a
// request runs, the HTTP server reads from the connection to notice that the caller
// has closed it; an expired read deadline would look like a closed connection.
func clearReadDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

func bodyUnreadable(err error) *verdict.Error {
	return verdict.Refused(http.StatusBadRequest, "body_unreadable", "the request body could not be read to its end").WithCause(err)
}

func requestTooLarge(limit int64) *verdict.Error {
	return verdict.Refused(http.StatusRequestEntityTooLarge, "request_too_large",
		"the request body exceeds the limit of "+strconv.FormatInt(limit, 10)+" bytes")
}

func (s *Server) handleNotFound(w http.ResponseWriter, r *http.Request) {
	setReadDeadline(w, s.bodyTimeout)
	writeError(w, verdict.Refused(http.StatusNotFound, "unknown_path", "there is no "+r.Method+" "+r.URL.Path))
}
