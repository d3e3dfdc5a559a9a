package table

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"slices"
)

// Scope names the callers among whom cached context is shared. No two sets of callers that may not share have the
// same name. The zero value names none: with it nothing is shared, and nothing may be sent to a target.
type Scope string

// Prefixes of scopes, which tell the two kinds apart.
const (
	isolatedPrefix = "only/"
	sharedPrefix   = "all/"
)

// scopeBytes is the size of the digest of the organisations that a shared scope excludes.
const scopeBytes = 8

// isolatedScope returns the scope of an organisation that shares no cached context.
func isolatedScope(organisation string) Scope {
	return Scope(isolatedPrefix + url.PathEscape(organisation))
}

// sharedScope returns the scope of all callers that do not belong to one of the isolated organisations. It depends
// on which these are: what an organisation cached before it became isolated stays in the scope of that time.
func sharedScope(isolated []string) Scope {
	if len(isolated) == 0 {
		return sharedPrefix
	}
	names := slices.Clone(isolated)
	slices.Sort(names)
	h := sha256.New()
	for _, name := range slices.Compact(names) {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(name))))
		h.Write([]byte(name))
	}
	return Scope(sharedPrefix + hex.EncodeToString(h.Sum(nil)[:scopeBytes]))
}

// Scope returns the scope of an organisation of the table, or of a caller without one if it is nil.
func (t *Table) Scope(o *Organisation) Scope {
	if o != nil && o.Isolated {
		return isolatedScope(o.Name)
	}
	return t.shared
}
