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

// client sends requests to the operators' API.
type client struct {
	servers []string // base URLs, in order of preference
	key     string
	http    *http.Client
}

// callTimeout bounds one call. The response to a change comes once all daemons
// have applied it.
const callTimeout = 30 * time.Second

// newClient returns a client whose key comes from keyFile, or from the environment if keyFile
// is empty. It trusts the certificate authority in the file ca, or the system's if ca is empty.
func newClient(servers []string, keyFile, ca string) (*client, error) {
	c := &client{servers: servers, key: os.Getenv(keyEnv), http: &http.Client{}}
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

// keyEnv is the environment variable with the operator's key.
const keyEnv = "EMBERTALLY_KEY"

// send sends a request to the first server that responds. A change goes on to the
// next server only if the connection was refused: after any other error the server
// may have executed it.
func (c *client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	var lastErr error
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
		lastErr = errors.WithStack(err)
		if method != http.MethodGet && !strings.Contains(err.Error(), "connection refused") {
			break
		}
	}
	return nil, lastErr
}

// call sends a request and decodes the response into reply. If the daemon rejects
// the request, the error is a *conf.Rejection.
func (c *client) call(method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode/100 != 2 {
		return responseError(resp.Status, raw)
	}
	return errors.Wrap(json.Unmarshal(raw, reply), "reply")
}

// responseError returns the error in a response whose status is not a success.
func responseError(status string, raw []byte) error {
	var e struct {
		Error *conf.Rejection `json:"error"`
	}
	if json.Unmarshal(raw, &e) == nil && e.Error != nil {
		return e.Error
	}
	return errors.Errorf("the daemon answered %s: %s", status, bytes.TrimSpace(raw))
}
