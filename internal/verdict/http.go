package verdict

import (
	"encoding/json"
	"math"
	"net/http"
	"time"
)

// ProblemType is the media type of a problem document (RFC 9457).
const ProblemType = "application/problem+json"

// Problem is a problem document: the body of the answer to a failed request.
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

// causeInfo holds the HTTP status and title of causes. Status and Problem have
// defaults for the rest.
var causeInfo = map[Cause]struct {
	status int
	title  string
}{
	BadRequest:       {http.StatusBadRequest, "The request is malformed"},
	UnknownRoute:     {http.StatusNotFound, "No such route"},
	Unauthorized:     {http.StatusUnauthorized, "A valid API key is needed"},
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

// Status returns the HTTP status of c, by default 503.
func (c Cause) Status() int {
	if t, ok := causeInfo[c]; ok {
		return t.status
	}
	return http.StatusServiceUnavailable
}

// PromisesNotRun reports whether callers take a status to mean that their request was not
// executed and never will be.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// HTTPStatus returns the status of an answer to e. One that promises that the request was
// not executed is used only with NotRun, and a 5xx status with NotRun is always 503. Callers
// that read the problem document rely on its verdict instead.
func (e *Error) HTTPStatus() int {
	status := e.Cause.Status()
	switch {
	case e.Outcome == NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case e.Outcome != NotRun && PromisesNotRun(status):
		return http.StatusBadGateway
	}
	return status
}

// Problem returns the problem document for e.
func (e *Error) Problem(requestID, traceID string) Problem {
	title := "The request can't be served now"
	if t, ok := causeInfo[e.Cause]; ok {
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

// RetryAfterSeconds returns the value for a Retry-After header: whole seconds,
// rounded up, or 0 if no retry time is known.
func (e *Error) RetryAfterSeconds() int {
	return int(math.Ceil(e.RetryAfter.Seconds()))
}

// JSON returns p encoded as JSON, or a generic document if encoding fails.
func (p Problem) JSON() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"type":"about:blank","title":"Internal error","status":500}`)
	}
	return b
}
