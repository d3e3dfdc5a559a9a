package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/cache"
	"embertally.dev/core/target"
)

// Store emulates a KV-cache store: storage for blocks and manifests behind one network link
// of limited bandwidth.
type Store struct {
	Server
	o StoreOptions

	storeMu    sync.Mutex
	blocks     map[cache.Hash]*storedBlock    // guarded by storeMu
	manifests  map[cache.Hash]*storedManifest // guarded by storeMu
	generation uint64                         // of the last write; guarded by storeMu
	// linkFreeAt is when the link will have finished all transfers so far.
	// Guarded by storeMu.
	linkFreeAt time.Time
	linkBytes  int64         // transferred; guarded by storeMu
	linkBusy   time.Duration // total time in use; guarded by storeMu
}

// StoreOptions configures the size and speed of an emulated KV-cache store.
type StoreOptions struct {
	// Blocks is the capacity in blocks.
	Blocks int
	// BlockBytes is the size of one KV-cache block.
	BlockBytes int
	// Latency is the round-trip time that is added to each request.
	Latency time.Duration
	// LinkBytesPerSecond is the bandwidth of the link.
	LinkBytesPerSecond float64
}

// storedBlock is one block; each write gives it the next generation.
type storedBlock struct {
	content    string
	generation uint64
}

// storedManifest is the manifest of one context, with its use.
type storedManifest struct {
	target.Manifest
	lastUse   time.Time // last written or read
	readCount int
}

// Checksum returns the checksum of a block's content.
func Checksum(content string) string {
	s := sha256.Sum256([]byte(content))
	return hex.EncodeToString(s[:16])
}

// NewStore starts a KV-cache store that listens at address.
func NewStore(address string, o StoreOptions) (*Store, error) {
	s := &Store{o: o}
	s.Reset()
	s.latency = o.Latency
	return s, s.start(address, func(e *echo.Echo) {
		e.POST("/v1/blocks/read", s.read)
		e.POST("/v1/blocks/write", s.write)
		e.GET("/v1/manifests/:root", s.getManifest)
		e.PUT("/v1/manifests/:root", s.putManifest)
		e.DELETE("/v1/manifests/:root", s.removeManifest)
		e.GET("/v1/usage", s.usage)
		e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
		e.POST("/reset", func(c echo.Context) error { s.Reset(); return c.NoContent(http.StatusNoContent) })
		e.POST("/free", func(c echo.Context) error { s.ReuseAllBlocks(); return c.NoContent(http.StatusNoContent) })
		e.POST("/link", func(c echo.Context) error {
			var body struct {
				BytesPerSecond float64 `json:"bytesPerSecond"`
			}
			if err := c.Bind(&body); err != nil {
				return err
			}
			s.SetLinkBandwidth(body.BytesPerSecond)
			return c.NoContent(http.StatusNoContent)
		})
	})
}

// Reset empties the store, as the replacement of its box would.
func (s *Store) Reset() {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.blocks, s.manifests = map[cache.Hash]*storedBlock{}, map[cache.Hash]*storedManifest{}
}

// ReuseAllBlocks frees every block and reuses its space for other content. The manifests stay, so
// that they refer to the wrong blocks.
func (s *Store) ReuseAllBlocks() {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	for _, b := range s.blocks {
		s.generation++
		b.content, b.generation = "another block's content", s.generation
	}
}

// SetLinkBandwidth changes the bandwidth of the link.
func (s *Store) SetLinkBandwidth(bytesPerSecond float64) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.o.LinkBytesPerSecond = bytesPerSecond
}

// StoreCounts reports what a store transferred and contains.
type StoreCounts struct {
	// LinkBytes is the total over the link.
	LinkBytes int64 `json:"linkBytes"`
	// BusySeconds is how long the link was in use.
	BusySeconds float64 `json:"busySeconds"`
	// UsedBlocks is the number of stored blocks.
	UsedBlocks int `json:"usedBlocks"`
	// Contexts is the number of manifests.
	Contexts int `json:"contexts"`
}

// Counts returns the current counts.
func (s *Store) Counts() StoreCounts {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return StoreCounts{s.linkBytes, s.linkBusy.Seconds(), len(s.blocks), len(s.manifests)}
}

// transfer occupies the link with n blocks, after those already queued, and returns when they
// have been transferred or the request is cancelled.
func (s *Store) transfer(c echo.Context, n int) {
	s.storeMu.Lock()
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	bytes := int64(n * s.o.BlockBytes)
	took := time.Duration(float64(bytes) / s.o.LinkBytesPerSecond * float64(time.Second))
	s.linkFreeAt = s.linkFreeAt.Add(took)
	s.linkBytes += bytes
	s.linkBusy += took
	wait := s.linkFreeAt.Sub(now)
	s.storeMu.Unlock()
	select {
	case <-time.After(wait):
	case <-c.Request().Context().Done():
	}
}

// transferredBlock is one block in a message between an engine and a KV-cache store.
type transferredBlock struct {
	target.Block
	Content string `json:"content"`
}

// blockList is the body of requests and responses that carry blocks.
type blockList struct {
	Blocks []transferredBlock `json:"blocks"`
}

// read responds with the requested blocks, up to the first that is not stored.
func (s *Store) read(c echo.Context) error {
	var body blockList
	if err := c.Bind(&body); err != nil {
		return err
	}
	var out blockList
	s.storeMu.Lock()
	for _, b := range body.Blocks {
		stored := s.blocks[b.Hash]
		if stored == nil {
			break
		}
		content := stored.content
		if s.Take(Corrupt) {
			content = "x" + content
		}
		out.Blocks = append(out.Blocks, transferredBlock{target.Block{Hash: b.Hash, Generation: stored.generation}, content})
	}
	s.storeMu.Unlock()
	s.transfer(c, len(out.Blocks))
	return c.JSON(http.StatusOK, out)
}

// write stores blocks. It rejects all of them if they do not fit.
func (s *Store) write(c echo.Context) error {
	var body blockList
	if err := c.Bind(&body); err != nil {
		return err
	}
	s.storeMu.Lock()
	added := 0
	for _, b := range body.Blocks {
		if s.blocks[b.Hash] == nil {
			added++
		}
	}
	full := len(s.blocks)+added > s.o.Blocks
	s.storeMu.Unlock()
	if full {
		return c.String(http.StatusInsufficientStorage, "full\n")
	}
	s.transfer(c, len(body.Blocks))
	var out blockList
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	for _, b := range body.Blocks {
		s.generation++
		content := b.Content
		if s.Take(HalfWrite) {
			content = content[:len(content)/2]
		}
		s.blocks[b.Hash] = &storedBlock{content, s.generation}
		out.Blocks = append(out.Blocks, transferredBlock{Block: target.Block{Hash: b.Hash, Generation: s.generation}})
	}
	return c.JSON(http.StatusOK, out)
}

// rootParam parses the hash of a context's root block from the path.
func rootParam(c echo.Context) (cache.Hash, error) {
	var h cache.Hash
	return h, h.UnmarshalText([]byte(c.Param("root")))
}

func (s *Store) getManifest(c echo.Context) error {
	root, err := rootParam(c)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	m := s.manifests[root]
	if m == nil {
		return c.String(http.StatusNotFound, "no manifest\n")
	}
	m.lastUse = time.Now()
	m.readCount++
	return c.JSON(http.StatusOK, m.Manifest)
}

func (s *Store) putManifest(c echo.Context) error {
	root, err := rootParam(c)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	m := &storedManifest{lastUse: time.Now()}
	if err := c.Bind(&m.Manifest); err != nil {
		return err
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if old := s.manifests[root]; old != nil {
		m.readCount = old.readCount
	}
	s.manifests[root] = m
	return c.NoContent(http.StatusNoContent)
}

// removeManifest deletes a manifest and the blocks that it lists.
func (s *Store) removeManifest(c echo.Context) error {
	root, err := rootParam(c)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	m := s.manifests[root]
	delete(s.manifests, root)
	if m != nil {
		for _, b := range m.Blocks {
			delete(s.blocks, b.Hash)
		}
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Store) usage(c echo.Context) error {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	u := target.Usage{UsedBlocks: len(s.blocks), TotalBlocks: s.o.Blocks, Contexts: []target.StoredContext{}}
	for root, m := range s.manifests {
		u.Contexts = append(u.Contexts, target.StoredContext{
			Root: root, Blocks: len(m.Blocks), IdleSeconds: time.Since(m.lastUse).Seconds(), Reads: m.readCount,
		})
	}
	return c.JSON(http.StatusOK, u)
}
