package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// BoxState is the state of a box in the box list.
type BoxState string

// The states of boxes. A box that was removed is not in the list.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Role is the purpose of a box: whether it runs a daemon or targets.
type Role string

// The roles of boxes.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// Box is one entry of the platform's box list.
type Box struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is where the daemon of an entry box listens for peers, as IP and port.
	Address string `json:"address,omitempty"`
	// Domain is the failure domain.
	Domain string   `json:"domain"`
	State  BoxState `json:"state"`
}

// BoxList reads the platform's list of boxes, live and leaving.
type BoxList struct {
	url    string
	client *Client
	// tag is the ETag of the last list read.
	tag string
}

// NewBoxList returns a reader of the list at url, for use by one goroutine.
func NewBoxList(url string, client *Client) *BoxList {
	return &BoxList{url: url, client: client}
}

// Read returns the list. changed is false if the list is the same as last time.
func (b *BoxList) Read(ctx context.Context) (boxes []Box, changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url, nil)
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	if b.tag != "" {
		req.Header.Set("If-None-Match", b.tag)
	}
	resp, err := b.client.DoProbed(req, Probe{After: silentAfter, Request: req.Clone(ctx), Answers: true})
	if err != nil {
		return nil, false, errors.Wrap(err, "box list")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, errors.Errorf("box list: status %s", resp.Status)
	}
	var body struct {
		Boxes []Box `json:"boxes"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body); err != nil {
		return nil, false, errors.Wrap(err, "box list")
	}
	b.tag = resp.Header.Get("ETag")
	return body.Boxes, true, nil
}
