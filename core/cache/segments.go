package cache

import (
	"context"
	"net/url"
	"strconv"
	"strings"
	"time"

	"embertally.dev/core/table"
)

// Segment is one segment of a prompt, in prompt order. Requests may share their leading
// segments.
type Segment struct {
	ID     string
	Tokens int
}

// SegmentSalt forms the cache salt under which segments are stored. Segments of other models, weights or scopes
// have a different salt.
type SegmentSalt struct {
	Model   string
	Version int64
	// Scope names the callers that share the segment. Without one there is no salt.
	Scope table.Scope
}

// String returns the salt in the form that engines and stores receive, or "" without a scope.
func (s SegmentSalt) String() string {
	if s.Scope == "" {
		return ""
	}
	return "v" + strconv.FormatInt(s.Version, 10) + "/" + url.PathEscape(s.Model) + "/" + string(s.Scope)
}

// SaltVersion parses the model and weight version from a salt that String returned.
func SaltVersion(salt string) (model string, version int64, ok bool) {
	head, rest, found := strings.Cut(salt, "/")
	if !found || !strings.HasPrefix(head, "v") {
		return "", 0, false
	}
	version, err := strconv.ParseInt(head[1:], 10, 64)
	escaped, _, found := strings.Cut(rest, "/")
	if err != nil || !found {
		return "", 0, false
	}
	model, err = url.PathUnescape(escaped)
	return model, version, err == nil
}

// SegmentName identifies a cached segment.
type SegmentName struct{ Salt, ID string }

// SegmentChange is one change of the segments that a store holds.
type SegmentChange struct {
	SegmentName
	// Tokens is the number of tokens held now; 0 if the segment was removed.
	Tokens int
}

// SegmentEvents is a list of changes that a store reported.
type SegmentEvents struct {
	// Epoch changes when the store restarts.
	Epoch int64
	// Next is the position from which the next query continues.
	Next int64
	// Gap is set if changes before Changes were lost.
	Gap     bool
	Changes []SegmentChange
	// Clock is the targets' clock at the time of the report; 0 if it was not reported.
	Clock time.Duration
	// Age is the time since the store made the report.
	Age time.Duration
}

// StoreClient is a client of the KV-cache stores.
type StoreClient interface {
	// Events returns the changes after since and waits up to wait for the first.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (SegmentEvents, error)
	// Contents returns everything the store holds, which may take long. It gives up if the
	// store stops sending.
	Contents(ctx context.Context, address string) (SegmentEvents, error)
	// Free frees segments of a store in the given epoch.
	Free(ctx context.Context, address string, epoch int64, segments []SegmentName) error
}

// StoreInfo is the configuration of a store.
type StoreInfo struct {
	Address string
	Domain  string
	// Capacity is the capacity in tokens.
	Capacity int
	// TokenTime is the transfer time of one token over the store's link.
	TokenTime time.Duration
	// FirstByteDelay is the delay before the first byte of a transfer.
	FirstByteDelay time.Duration
	// MaxWatchers is how many daemons may follow the store at a time; 0 if not configured.
	MaxWatchers int
}

// transferTime returns how long a transfer to a worker in a failure domain takes. Links
// between domains have half the bandwidth.
func (s *StoreInfo) transferTime(tokens int, domain string) time.Duration {
	d := time.Duration(tokens) * s.TokenTime
	if domain != "" && domain != s.Domain {
		d *= 2
	}
	return d + s.FirstByteDelay
}
