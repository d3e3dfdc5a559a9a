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

// Store stands in for a store box: memory first, then disk, behind one link of
// limited capacity.
type Store struct {
	Server
	o StoreOptions

	storeMu    sync.Mutex
	blocks     map[cache.Hash]*kept     // guarded by storeMu
	manifests  map[cache.Hash]*manifest // guarded by storeMu
	generation uint64                   // guarded by storeMu
	// free is when the link has moved all that was asked of it so far.
	// Guarded by storeMu.
	free  time.Time
	moved int64 // bytes over the link; guarded by storeMu
	busy  time.Duration
}

// StoreOptions are the size and speed of a store.
type StoreOptions struct {
	// Blocks is its room in blocks.
	Blocks int
	// BlockBytes is the size of one block's cache.
	BlockBytes int
	// Latency is the time there and back of each request.
	Latency time.Duration
	// LinkBytesPerSecond is the capacity of its link.
	LinkBytesPerSecond float64
}

type kept struct {
	content    string
	generation uint64
}

type manifest struct {
	target.Manifest
	used  time.Time
	reads int
}

// Sum returns the checksum of a block's content.
func Sum(content string) string {
	s := sha256.Sum256([]byte(content))
	return hex.EncodeToString(s[:16])
}

// NewStore starts a store at address.
func NewStore(address string, o StoreOptions) (*Store, error) {
	s := &Store{o: o}
	s.Reset()
	s.latency = o.Latency
	return s, s.start(address, func(e *echo.Echo) {
		e.POST("/v1/blocks/read", s.read)
		e.POST("/v1/blocks/write", s.write)
		e.GET("/v1/manifests/:root", s.manifest)
		e.PUT("/v1/manifests/:root", s.putManifest)
		e.DELETE("/v1/manifests/:root", s.removeManifest)
		e.GET("/v1/usage", s.usage)
		e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
		e.POST("/reset", func(c echo.Context) error { s.Reset(); return c.NoContent(http.StatusNoContent) })
		e.POST("/free", func(c echo.Context) error { s.FreeAll(); return c.NoContent(http.StatusNoContent) })
		e.POST("/link", func(c echo.Context) error {
			var body struct {
				BytesPerSecond float64 `json:"bytesPerSecond"`
			}
			if err := c.Bind(&body); err != nil {
				return err
			}
			s.SetLink(body.BytesPerSecond)
			return c.NoContent(http.StatusNoContent)
		})
	})
}

// Reset empties the store, as when its box was replaced.
func (s *Store) Reset() {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.blocks, s.manifests = map[cache.Hash]*kept{}, map[cache.Hash]*manifest{}
}

// FreeAll frees every block and writes others in their place, with the
// manifests left as they were.
func (s *Store) FreeAll() {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	for _, b := range s.blocks {
		s.generation++
		b.content, b.generation = "another block's content", s.generation
	}
}

// SetLink changes the capacity of the link.
func (s *Store) SetLink(bytesPerSecond float64) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.o.LinkBytesPerSecond = bytesPerSecond
}

// StoreCounts says what a store moved.
type StoreCounts struct {
	LinkBytes   int64   `json:"linkBytes"`
	BusySeconds float64 `json:"busySeconds"`
	UsedBlocks  int     `json:"usedBlocks"`
	Contexts    int     `json:"contexts"`
}

// Counts returns what the store moved.
func (s *Store) Counts() StoreCounts {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return StoreCounts{s.moved, s.busy.Seconds(), len(s.blocks), len(s.manifests)}
}

// move takes the link for n blocks and returns when they have been moved.
func (s *Store) move(c echo.Context, n int) {
	s.storeMu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	bytes := int64(n * s.o.BlockBytes)
	took := time.Duration(float64(bytes) / s.o.LinkBytesPerSecond * float64(time.Second))
	s.free = s.free.Add(took)
	s.moved += bytes
	s.busy += took
	wait := s.free.Sub(now)
	s.storeMu.Unlock()
	select {
	case <-time.After(wait):
	case <-c.Request().Context().Done():
	}
}

// carried is one block on its way between an engine and a store.
type carried struct {
	target.Block
	Content string `json:"content"`
}

type blockList struct {
	Blocks []carried `json:"blocks"`
}

func (s *Store) read(c echo.Context) error {
	var body blockList
	if err := c.Bind(&body); err != nil {
		return err
	}
	var out blockList
	s.storeMu.Lock()
	for _, b := range body.Blocks {
		k := s.blocks[b.Hash]
		if k == nil {
			break
		}
		content := k.content
		if s.Take(Corrupt) {
			content = "x" + content
		}
		out.Blocks = append(out.Blocks, carried{target.Block{Hash: b.Hash, Generation: k.generation}, content})
	}
	s.storeMu.Unlock()
	s.move(c, len(out.Blocks))
	return c.JSON(http.StatusOK, out)
}

func (s *Store) write(c echo.Context) error {
	var body blockList
	if err := c.Bind(&body); err != nil {
		return err
	}
	s.storeMu.Lock()
	fresh := 0
	for _, b := range body.Blocks {
		if s.blocks[b.Hash] == nil {
			fresh++
		}
	}
	full := len(s.blocks)+fresh > s.o.Blocks
	s.storeMu.Unlock()
	if full {
		return c.String(http.StatusInsufficientStorage, "full\n")
	}
	s.move(c, len(body.Blocks))
	var out blockList
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	for _, b := range body.Blocks {
		s.generation++
		content := b.Content
		if s.Take(HalfWrite) {
			content = content[:len(content)/2]
		}
		s.blocks[b.Hash] = &kept{content, s.generation}
		out.Blocks = append(out.Blocks, carried{Block: target.Block{Hash: b.Hash, Generation: s.generation}})
	}
	return c.JSON(http.StatusOK, out)
}

func rootOf(c echo.Context) (cache.Hash, error) {
	var h cache.Hash
	return h, h.UnmarshalText([]byte(c.Param("root")))
}

func (s *Store) manifest(c echo.Context) error {
	root, err := rootOf(c)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	m := s.manifests[root]
	if m == nil {
		return c.String(http.StatusNotFound, "no manifest\n")
	}
	m.used = time.Now()
	m.reads++
	return c.JSON(http.StatusOK, m.Manifest)
}

func (s *Store) putManifest(c echo.Context) error {
	root, err := rootOf(c)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	m := &manifest{used: time.Now()}
	if err := c.Bind(&m.Manifest); err != nil {
		return err
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if old := s.manifests[root]; old != nil {
		m.reads = old.reads
	}
	s.manifests[root] = m
	return c.NoContent(http.StatusNoContent)
}

func (s *Store) removeManifest(c echo.Context) error {
	root, err := rootOf(c)
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
			Root: root, Blocks: len(m.Blocks), IdleSeconds: time.Since(m.used).Seconds(), Reads: m.reads,
		})
	}
	return c.JSON(http.StatusOK, u)
}
