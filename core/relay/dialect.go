package relay

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/roster"
)

// RequestMeta is the metadata of a caller's request.
type RequestMeta struct {
	// AttemptID identifies the caller's attempt; every answer repeats it.
	AttemptID string
	// Timeout is how long the caller waits, from the arrival of the request; 0 if not given.
	Timeout time.Duration
	// APIKey is the caller's API key, or "".
	APIKey string
	// Model is the requested model, or "".
	Model string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Segments are the segments of the prompt, in order.
	Segments []cache.Segment
	// Parts are the IDs of the segments that other requests may share, without duplicates and in a form that does not
	// depend on how callers write them.
	Parts []string
	// Unparsed names the headers about the prompt whose values cannot be parsed, with the first such values.
	Unparsed []string
	// LastEventID is the ID of the last event that the caller received of a broken stream, or "".
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of that stream, or "".
	Resumes string
	// ForTarget is set if a daemon sent the request, as an attempt at a target.
	ForTarget bool
}

// AttemptMeta is the metadata that is sent to a target with a request. It is valid only with all that keeps
// organisations and versions of weights apart; see Validate.
type AttemptMeta struct {
	// Timeout is the remaining time.
	Timeout time.Duration
	// Target is the ID of the target incarnation that must respond.
	Target string
	// Organisation is the caller's organisation, or "".
	Organisation string
	// CacheSalt is the cache salt of the segments. It must not be empty, whatever the service: what targets keep
	// without a salt is common to all callers.
	CacheSalt string
	// Engine is set if the target is a model worker.
	Engine bool
	// WeightVersion is the version of the weights that the target must have; 0 for any, which is invalid for
	// model workers.
	WeightVersion int64
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// CopyFrom holds, for each segment, the address of the KV-cache store or worker to copy it
	// from, or "".
	CopyFrom []string
	// CopyDeadline is the time on the targets' clock after which copies must be discarded; 0 for
	// never.
	CopyDeadline time.Duration
	// StoreTo holds, for each segment, the address of the KV-cache store to write it to, or "".
	StoreTo []string
	// LastEventID is the ID of the last event that the caller has received, or "".
	LastEventID string
}

// Validate returns an error if what keeps organisations or versions of weights apart is missing.
func (m *AttemptMeta) Validate() error {
	switch {
	case m.CacheSalt == "":
		return errors.New("the attempt has no cache salt")
	case m.Engine && m.WeightVersion <= 0:
		return errors.New("the attempt has no version of the weights")
	}
	return nil
}

// ResponseMeta is the metadata in the header of a target's response.
type ResponseMeta struct {
	// AttemptIDs identify the attempt that the target responds to: one in a valid response.
	AttemptIDs []string
	// Signed is set if the target signed the response.
	Signed bool
	// NotExecuted is set if the response says that the target did not execute the request and never will.
	NotExecuted bool
	// Contradictory is set if the response says so in a way in which targets do not, such as with the status
	// of a success.
	Contradictory bool
	// Target is the name of the target that responded, or "" if not given.
	Target string
	// WeightVersion is the version of the weights; 0 if not given.
	WeightVersion int64
	// Encoded is set if the body is not encoded as the target made it.
	Encoded bool
	// ShuttingDown is set if the target reports that it is shutting down.
	ShuttingDown bool
	// Pushback is the pushback that comes with a rejection, or 0; BadPushback is its value if that
	// cannot be parsed, or "".
	Pushback    time.Duration
	BadPushback string
	// RateLimit is the rate limit that the target states, for all daemons together.
	RateLimit roster.RateLimit
	// RejectionLimit is the rate of rejections for want of room, of requests of all daemons together,
	// over which the target states that it fails.
	RejectionLimit roster.RateLimit
}

// Dialect reads and writes the headers used with callers and targets.
type Dialect interface {
	// ParseRequest parses a caller's headers.
	ParseRequest(h http.Header) (RequestMeta, error)
	// WriteAttempt removes the headers reserved for the daemon from h, and adds those of meta. It returns an
	// error if meta is not valid.
	WriteAttempt(h http.Header, meta *AttemptMeta) error
	// ParseResponse parses the header of a target's response.
	ParseResponse(status int, h http.Header) ResponseMeta
	// WriteResponder writes the name of the daemon that refuses an attempt at a target.
	WriteResponder(h http.Header, name string)
	// WriteRefusal writes the ID of the caller's attempt and the Retry-After.
	WriteRefusal(h http.Header, id string, after time.Duration)
}
