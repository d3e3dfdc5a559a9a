package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/certs"
	"embertally.dev/core/conf"
)

// client speaks the resource API.
type client struct {
	servers []string
	key     string
	http    *http.Client
}

// callLimit bounds one call; a change waits until it is in force everywhere.
const callLimit = 30 * time.Second

func newClient(servers []string, keyFile, ca string) (*client, error) {
	c := &client{servers: servers, key: os.Getenv(keyVariable), http: &http.Client{}}
	if keyFile != "" {
		raw, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		c.key = strings.TrimSpace(string(raw))
	}
	if ca == "" {
		return c, nil
	}
	pool, err := certs.Pool(ca)
	if err != nil {
		return nil, err
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// keyVariable names the environment variable with the operator's key.
const keyVariable = "EMBERTALLY_KEY"

// open sends a request to the first server that answers. A change is only
// sent on to another server where it did not reach the first.
func (c *client) open(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	var last error
	for _, s := range c.servers {
		req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(s, "/")+path, bytes.NewReader(raw))
		if err != nil {
			return nil, errors.WithStack(err)
		}
		req.Header.Set("Authorization", "Bearer "+c.key)
		req.Header.Set("Content-Type", "application/json")
		resp, err := c.http.Do(req)
		if err == nil {
			return resp, nil
		}
		last = errors.WithStack(err)
		if method != http.MethodGet && !strings.Contains(err.Error(), "connection refused") {
			break
		}
	}
	return nil, last
}

// do sends a request and decodes its reply. A refusal is a *conf.Rejection.
func (c *client) do(method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	resp, err := c.open(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode/100 != 2 {
		return refusal(resp.Status, raw)
	}
	return errors.Wrap(json.Unmarshal(raw, reply), "reply")
}

func refusal(status string, raw []byte) error {
	var e struct {
		Error *conf.Rejection `json:"error"`
	}
	if json.Unmarshal(raw, &e) == nil && e.Error != nil {
		return e.Error
	}
	return errors.Errorf("the daemon answered %s: %s", status, bytes.TrimSpace(raw))
}
