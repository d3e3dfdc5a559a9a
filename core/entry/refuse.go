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

// Ran tells whether a refused request ran.
type Ran string

// Whether a request ran. NotRun is only said when it is certain: nothing was
// handed to a target, or what was handed over may be repeated and was thrown
// away. Of a call with an idempotency key it speaks of all tries with the key.
const (
	NotRun  Ran = "notRun"
	Unknown Ran = "unknown"
	DidRun  Ran = "ran"
)

// Code says why a request was refused.
type Code string

// The codes of refusals towards callers.
const (
	CodeNotReady       Code = "notReady"
	CodeBadKey         Code = "badKey"
	CodeBadRequest     Code = "badRequest"
	CodeTooLarge       Code = "bodyTooLarge"
	CodeNotFound       Code = "notFound"
	CodeNotAllowed     Code = "notAllowed"
	CodeQueueFull      Code = "queueFull"
	CodeTooLate        Code = "deadlineCannotBeMet"
	CodeNoTarget       Code = "noTarget"
	CodeTargetFailed   Code = "targetFailed"
	CodeStreamBroken   Code = "streamBroken"
	CodeOutcomeUnknown Code = "outcomeUnknown"
	CodeInProgress     Code = "inProgress"
	CodeKeyReused      Code = "keyReused"
	CodeKeyExpired     Code = "keyExpired"
	CodeBadIdempotency Code = "badIdempotencyKey"
	CodeNoClaim        Code = "claimUnavailable"
	CodeAlreadyRan     Code = "alreadyRan"
	CodeAnswerTooLarge Code = "answerTooLarge"
	CodeTimeout        Code = "timeLimitReached"
	CodeEndsTargets    Code = "requestEndsTargets"
)

// Refusal is the typed answer to a request that gets no other.
type Refusal struct {
	Status  int
	Code    Code
	Ran     Ran
	Message string
	// RetryAfter says when to come back; zero says nothing.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Ran) + "): " + r.Message
}

// NewRefusal returns a refusal for slices that answer callers beside this one.
func NewRefusal(status int, code Code, ran Ran, message string, after time.Duration) *Refusal {
	return refuse(status, code, ran, message).after(after)
}

// Write gives the refusal to a caller of a routed request. The header that
// says when to come back is the caller's form and is set before.
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

func refuse(status int, code Code, ran Ran, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Ran: ran, Message: message}
}

func (r *Refusal) after(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// keyed makes the refusal true for a call with an idempotency key as well: an
// earlier try with the key may have run, and only its claim tells.
func (r *Refusal) keyed(req *http.Request) *Refusal {
	if req.Header.Get(HeaderIdempotency)+req.Header.Get(HeaderTicket) == "" || r.Code == CodeBadKey {
		return r
	}
	r.Ran = Unknown
	r.Message += "; this try did not run, an earlier one with its key may have"
	return r
}

// refusalBody is the wire form, in the published form of errors with more
// fields.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code    Code   `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	// Ran is notRun, unknown or ran.
	Ran              Ran    `json:"ran"`
	Request          string `json:"request"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

func (r *Refusal) body(request string) refusalBody {
	return refusalBody{refusalError{
		Code: r.Code, Type: "embertally", Message: r.Message, Ran: r.Ran, Request: request,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}}
}

// write gives the refusal to the caller.
func (r *Refusal) write(c echo.Context, request string) error {
	if r.RetryAfter > 0 {
		up := (r.RetryAfter + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(up), 10))
	}
	return c.JSON(r.Status, r.body(request))
}

// asEvent is the refusal as the last message of a stream that has begun.
func (r *Refusal) asEvent(request string) []byte {
	raw, err := json.Marshal(r.body(request))
	if err != nil {
		return nil
	}
	return raw
}

func (s *Server) refused(c echo.Context, q *request, r *Refusal) error {
	s.stats.Refused.Add(1)
	s.o.Log.Emit(event.RequestRefused, q.ref(""), r.Error())
	return r.write(c, q.id)
}

// isTooLarge reports whether reading a body ended at its limit.
func isTooLarge(err error) bool {
	_, ok := err.(*http.MaxBytesError)
	return ok
}
