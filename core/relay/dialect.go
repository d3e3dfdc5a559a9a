package relay

import (
	"net/http"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/roster"
)

// Ask is what a caller says beside the request itself.
type Ask struct {
	// ID names the try; it comes back in each answer.
	ID string
	// Deadline is how long the caller waits; 0 where it does not say.
	Deadline time.Duration
	// Key is the caller's key, or "".
	Key string
	// Model is the model that is asked, or "".
	Model string
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Parts are the parts of the prompt, in order.
	Parts []cache.Part
	// After is the last event that the caller has of a stream that broke, or "".
	After string
}

// Sending is what the system says to a target beside the request itself.
type Sending struct {
	// Deadline is the time that is left.
	Deadline time.Duration
	// Target is the run of the target that must answer.
	Target string
	// Organisation is the caller's, or "".
	Organisation string
	// Salt is the name under which parts are kept, or "".
	Salt string
	// Weights is the version that the target must hold; 0 for any.
	Weights int64
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Copy names, for each part, the store that it is copied from, or "".
	Copy []string
	// CopyUntil is the time on the targets' clock after which copies are void.
	CopyUntil time.Duration
	// Keep names, for each part, the store that it is to be sent to, or "".
	Keep []string
	// After is the last event that the caller has, or "".
	After string
}

// Reply is what the head of a target's answer says.
type Reply struct {
	// ID is the try that is answered.
	ID string
	// Sealed tells that the target signed the answer.
	Sealed bool
	// NotRun tells that the target did not run the request and never will.
	NotRun bool
	// Target is the name of the target that answered, where it says so.
	Target string
	// Weights is the version of the weights, where it says so.
	Weights int64
	// Encoded tells that the body is not as the target made it.
	Encoded bool
	// Leaves tells that the target says that it leaves.
	Leaves bool
	// Rest is how long the target wants nothing, where it turns the request away and says so, and
	// Odd what it says of that and can't be read, or "".
	Rest time.Duration
	Odd  string
	// Limit is the request rate that the target names for all daemons together.
	Limit roster.Limit
}

// Dialect names the headers between callers, the system and targets.
type Dialect interface {
	// Ask reads a caller's headers.
	Ask(h http.Header) (Ask, error)
	// Sending removes from h what only the system may say, and writes s.
	Sending(h http.Header, s *Sending)
	// Reply reads the head of a target's answer.
	Reply(status int, h http.Header) Reply
	// Refusal writes the try's ID and when to come back.
	Refusal(h http.Header, id string, after time.Duration)
}
