package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"embertally.dev/core/event"
)

// RunState states whether a refused request ran.
type RunState string

// The values of RunState. NotRun is used only when it is certain: nothing was sent to a target, or
// what was sent may be repeated and its result was discarded. For a call with an idempotency key it
// covers all attempts with the key.
const (
	NotRun  RunState = "notRun"
	Unknown RunState = "unknown"
	DidRun  RunState = "ran"
)

// Code identifies the reason of a refusal.
type Code string

// The codes of refusals that callers receive.
const (
	CodeNotReady            Code = "notReady"
	CodeBadKey              Code = "badKey"
	CodeMisdirected         Code = "misdirected"
	CodeBadRequest          Code = "badRequest"
	CodeTooLarge            Code = "bodyTooLarge"
	CodeHeaderTooLarge      Code = "headerTooLarge"
	CodeNotFound            Code = "notFound"
	CodeNotAllowed          Code = "notAllowed"
	CodeQueueFull           Code = "queueFull"
	CodeDeadlineCannotBeMet Code = "deadlineCannotBeMet"
	CodeNoTarget            Code = "noTarget"
	CodeTargetFailed        Code = "targetFailed"
	CodeStreamBroken        Code = "streamBroken"
	CodeOutcomeUnknown      Code = "outcomeUnknown"
	CodeInProgress          Code = "inProgress"
	CodeKeyReused           Code = "keyReused"
	CodeIDReused            Code = "idReused"
	CodeKeyExpired          Code = "keyExpired"
	CodeBadIdempotencyKey   Code = "badIdempotencyKey"
	CodeClaimUnavailable    Code = "claimUnavailable"
	CodeAlreadyRan          Code = "alreadyRan"
	CodeAnswerTooLarge      Code = "answerTooLarge"
	CodeTimeout             Code = "timeLimitReached"
	CodeCrashesTargets      Code = "requestEndsTargets"
)

// Refusal is the error response to a request.
type Refusal struct {
	Status  int
	Code    Code
	Ran     RunState
	Message string
	// RetryAfter is the time after which the caller may retry; zero sends none.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Ran) + "): " + r.Message
}

// NewRefusal returns a refusal, for other packages that answer callers. after becomes RetryAfter.
func NewRefusal(status int, code Code, ran RunState, message string, after time.Duration) *Refusal {
	return refuse(status, code, ran, message).after(after)
}

// Write sends the refusal to the caller of a routed request. It doesn't set Retry-After: whoever
// calls Write does, in the format that suits the caller.
func (r *Refusal) Write(w http.ResponseWriter, request string) error {
	raw, err := json.Marshal(r.body(request))
	if err != nil {
		return errors.WithStack(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(r.Status)
	_, err = w.Write(raw)
	return errors.WithStack(err)
}

func refuse(status int, code Code, ran RunState, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Ran: ran, Message: message}
}

func (r *Refusal) after(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// forKey adapts the refusal to a request with an idempotency key or a ticket: an earlier attempt with
// the same key may have run, which only its claim records.
func (r *Refusal) forKey(req *http.Request) *Refusal {
	if req.Header.Get(HeaderIdempotencyKey)+req.Header.Get(HeaderTicket) == "" || r.Code == CodeBadKey {
		return r
	}
	r.Ran = Unknown
	r.Message += "; this try did not run, an earlier one with its key may have"
	return r
}

// refusalBody is the JSON body of a refusal: the error object of the API with additional fields.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code    Code   `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	// Ran is notRun, unknown or ran.
	Ran              RunState `json:"ran"`
	Request          string   `json:"request"`
	RetryAfterMillis int64    `json:"retryAfterMillis,omitempty"`
}

func (r *Refusal) body(request string) refusalBody {
	return refusalBody{refusalError{
		Code: r.Code, Type: "embertally", Message: r.Message, Ran: r.Ran, Request: request,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}}
}

// write sends the refusal to the caller, with Retry-After rounded up to whole seconds.
func (r *Refusal) write(c echo.Context, request string) error {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	return c.JSON(r.Status, r.body(request))
}

// asEvent returns the refusal as the last message of a stream whose header was sent.
func (r *Refusal) asEvent(request string) []byte {
	raw, err := json.Marshal(r.body(request))
	if err != nil {
		return nil
	}
	return raw
}

// writeRefusal counts and logs the refusal and sends it to the caller, unless an answer has begun.
func (s *Server) writeRefusal(c echo.Context, q *request, r *Refusal) {
	s.stats.Refused.Add(1)
	s.o.Log.Emit(event.RequestRefused, q.ref(""), r.Error())
	if !c.Response().Committed {
		s.recordWritten(q, r.write(c, q.id))
	}
}

// isTooLarge reports whether reading a body failed at the size limit.
func isTooLarge(err error) bool {
	_, ok := err.(*http.MaxBytesError)
	return ok
}
