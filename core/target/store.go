package target

import (
	"context"
	"net/http"
	"time"

	"embertally.dev/core/cache"
)

// Store is a client of one KV-cache store.
type Store struct {
	url    string
	client *http.Client
}

// NewStore returns a client of the store at url.
func NewStore(url string, client *http.Client) *Store { return &Store{url, client} }

// URL returns the address at which engines reach the store.
func (s *Store) URL() string { return s.url }

// Manifest commits the export of a context: only blocks that it lists, with these generations and
// checksums, are read back.
type Manifest struct {
	Root   cache.Hash `json:"root"`
	Salt   cache.Salt `json:"salt"`
	Blocks []Block    `json:"blocks"`
}

// Manifest returns the manifest of a context, or nil if there is none.
func (s *Store) Manifest(ctx context.Context, root cache.Hash) (*Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var m Manifest
	err := do(ctx, s.client, http.MethodGet, s.url+"/v1/manifests/"+root.String(), nil, &m)
	if Status(err) == http.StatusNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &m, nil
}

// lookupTimeout bounds how long a request waits for a store's manifest.
const lookupTimeout = 250 * time.Millisecond

// PutManifest commits an export.
func (s *Store) PutManifest(ctx context.Context, m Manifest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, s.client, http.MethodPut, s.url+"/v1/manifests/"+m.Root.String(), m, nil)
}

// Remove deletes a stored context: its manifest first, then its blocks.
func (s *Store) Remove(ctx context.Context, root cache.Hash) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, s.client, http.MethodDelete, s.url+"/v1/manifests/"+root.String(), nil, nil)
}

// StoredContext is one context in a store's usage report.
type StoredContext struct {
	Root   cache.Hash `json:"root"`
	Blocks int        `json:"blocks"`
	// IdleSeconds is the time since the context was last read or written.
	IdleSeconds float64 `json:"idleSeconds"`
	// Reads is how often the context was read.
	Reads int `json:"reads"`
}

// Usage describes how full a store is.
type Usage struct {
	UsedBlocks  int             `json:"usedBlocks"`
	TotalBlocks int             `json:"totalBlocks"`
	Contexts    []StoredContext `json:"contexts"`
}

// Usage returns how full the store is and which contexts it holds.
func (s *Store) Usage(ctx context.Context) (Usage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var u Usage
	return u, do(ctx, s.client, http.MethodGet, s.url+"/v1/usage", nil, &u)
}
