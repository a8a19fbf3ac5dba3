package verdict

import (
	"encoding/json"
	"math"
	"net/http"
	"time"
)

// ProblemType is the media type of a refusal (RFC 9457).
const ProblemType = "application/problem+json"

// Problem is the body of a refusal.
type Problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Verdict      string `json:"verdict"`
	Cause        string `json:"cause"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
	TraceID      string `json:"trace_id,omitempty"`
}

// titles gives the HTTP status and title of each cause.
var titles = map[Cause]struct {
	status int
	title  string
}{
	BadRequest:       {http.StatusBadRequest, "The request is malformed"},
	UnknownRoute:     {http.StatusNotFound, "No such route"},
	TooLarge:         {http.StatusRequestEntityTooLarge, "The request is too large"},
	KeyReused:        {http.StatusUnprocessableEntity, "The idempotency key belongs to another request"},
	DuplicateKey:     {http.StatusConflict, "A request with this idempotency key was accepted before"},
	Poison:           {http.StatusUnprocessableEntity, "Requests like this one crash upstreams"},
	Deadline:         {http.StatusGatewayTimeout, "The deadline does not allow an answer"},
	Overload:         {http.StatusTooManyRequests, "Too much work is waiting"},
	UpstreamError:    {http.StatusBadGateway, "An upstream failed"},
	BadAnswer:        {http.StatusBadGateway, "An upstream sent a broken answer"},
	ConnectionLost:   {http.StatusBadGateway, "The connection to an upstream was lost"},
	ConnectionSilent: {http.StatusBadGateway, "The connection to an upstream went silent"},
	Internal:         {http.StatusInternalServerError, "Internal error"},
}

// Status returns the HTTP status of a cause; 503 unless another one fits.
func (c Cause) Status() int {
	if t, ok := titles[c]; ok {
		return t.status
	}
	return http.StatusServiceUnavailable
}

// HTTPStatus returns a status for callers who take some statuses as a promise
// that the request did not run: it follows the outcome first and the cause
// second. Callers who read the problem document go by its verdict.
func (e *Error) HTTPStatus() int {
	status := e.Cause.Status()
	promises := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case e.Outcome == NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case e.Outcome != NotRun && promises:
		return http.StatusBadGateway
	}
	return status
}

// Problem returns the problem document for e.
func (e *Error) Problem(requestID, traceID string) Problem {
	title := "The request can't be served now"
	if t, ok := titles[e.Cause]; ok {
		title = t.title
	}
	return Problem{
		Type:         "about:blank",
		Title:        title,
		Status:       e.Cause.Status(),
		Detail:       e.Detail,
		Verdict:      e.Outcome.String(),
		Cause:        string(e.Cause),
		RetryAfterMS: int64(e.RetryAfter / time.Millisecond),
		RequestID:    requestID,
		TraceID:      traceID,
	}
}

// RetryAfterSeconds is the value of the Retry-After header: whole seconds,
// rounded up, or 0 when there is no advice.
func (e *Error) RetryAfterSeconds() int {
	return int(math.Ceil(e.RetryAfter.Seconds()))
}

// JSON returns the encoded problem document.
func (p Problem) JSON() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"type":"about:blank","title":"Internal error","status":500}`)
	}
	return b
}
