package fake

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/plat"
)

// Boxes emulates the platform's box list.
type Boxes struct {
	Server
	// Lag is the delay until a change is visible; set it before use.
	Lag time.Duration

	boxMu   sync.Mutex
	boxes   map[string]plat.Box // guarded by boxMu
	order   []string            // names in order of appearance; guarded by boxMu
	version int                 // counts changes, sent as ETag; guarded by boxMu
}

// NewBoxes starts a box list that listens at address.
func NewBoxes(address string) (*Boxes, error) {
	b := &Boxes{boxes: map[string]plat.Box{}}
	return b, b.start(address, func(e *echo.Echo) {
		e.GET("/v1/boxes", b.list)
		e.PUT("/v1/boxes/:name", b.put)
		e.DELETE("/v1/boxes/:name", func(c echo.Context) error {
			b.Remove(c.Param("name"))
			return c.NoContent(http.StatusNoContent)
		})
	})
}

// Put adds or changes a box, after the lag.
func (b *Boxes) Put(box plat.Box) {
	b.afterLag(func() {
		if _, ok := b.boxes[box.Name]; !ok {
			b.order = append(b.order, box.Name)
		}
		b.boxes[box.Name] = box
	})
}

// Remove deletes a box from the list, after the lag.
func (b *Boxes) Remove(name string) {
	b.afterLag(func() { delete(b.boxes, name) })
}

// SetState changes the state of a box, after the lag.
func (b *Boxes) SetState(name string, s plat.BoxState) {
	b.afterLag(func() {
		if box, ok := b.boxes[name]; ok {
			box.State = s
			b.boxes[name] = box
		}
	})
}

// afterLag applies a change after the lag and counts the version up.
func (b *Boxes) afterLag(f func()) {
	apply := func() {
		b.boxMu.Lock()
		defer b.boxMu.Unlock()
		f()
		b.version++
	}
	if b.Lag == 0 {
		apply()
		return
	}
	time.AfterFunc(b.Lag, apply)
}

func (b *Boxes) put(c echo.Context) error {
	var box plat.Box
	if err := c.Bind(&box); err != nil {
		return err
	}
	box.Name = c.Param("name")
	b.Put(box)
	return c.NoContent(http.StatusNoContent)
}

func (b *Boxes) list(c echo.Context) error {
	b.boxMu.Lock()
	defer b.boxMu.Unlock()
	tag := strconv.Itoa(b.version)
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	var body struct {
		Boxes []plat.Box `json:"boxes"`
	}
	seen := map[string]bool{}
	for _, name := range b.order {
		if box, ok := b.boxes[name]; ok && !seen[name] {
			seen[name] = true
			body.Boxes = append(body.Boxes, box)
		}
	}
	return c.JSON(http.StatusOK, body)
}
