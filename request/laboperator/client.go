package laboperator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/process/labkeys"
)

const (
	requestTimeout   = 5 * time.Second
	retryDelay       = 200 * time.Millisecond
	maxResponseBytes = 64 << 20 // large enough for a long audit trail
)

// Client sends requests to the operators' API. It tries the control instances in turn until one responds. The exported
// fields must be set before the first request.
type Client struct {
	Addresses []string // host:port of the operators' API
	Identity  *labkeys.Identity
	Attempts  int // number of times that all addresses are tried; 0 means 1

	http *http.Client
}

// StatusError is a response with a status code of 400 or above.
type StatusError struct {
	Code int
	Body []byte
}

// Error returns the status text and the response body.
func (e *StatusError) Error() string {
	return http.StatusText(e.Code) + ": " + string(bytes.TrimSpace(e.Body))
}

// Do sends a request with body encoded as JSON and decodes the response into result; both may be nil. Requests must be
// idempotent: a request whose response is lost is sent again to the next control instance. If a control instance
// refuses the request, the error is a *StatusError.
func (c *Client) Do(ctx context.Context, method, path string, body, result any) error {
	var content []byte

	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return errors.Newf("encode request: %w", err)
		}
	}

	return c.sendWithRetries(ctx, method, path, content, result)
}

func (c *Client) sendWithRetries(ctx context.Context, method, path string, content []byte, result any) error {
	err := errors.New("no control instance is configured")

	for n := range max(1, c.Attempts) {
		if n > 0 {
			waitRetryDelay(ctx)
		}

		for _, a := range c.Addresses {
			err = c.send(ctx, a, method, path, content, result)
			if !tryNext(err) || ctx.Err() != nil {
				return err
			}
		}
	}

	return err
}

// tryNext reports whether the request should be sent to the next control instance. This is the case if err shows that
// no response arrived or that the control instance was unavailable.
func tryNext(err error) bool {
	var s *StatusError

	return err != nil && (!errors.As(err, &s) || s.Code == http.StatusServiceUnavailable)
}

func (c *Client) send(ctx context.Context, address, method, path string, content []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, bytes.NewReader(content))
	if err != nil {
		return errors.Newf("build request: %w", err)
	}

	r.Header.Set("Content-Type", "application/json")

	response, err := c.httpClient().Do(r)
	if err != nil {
		return errors.Newf("call control instance: %w", err)
	}

	defer func() { _ = response.Body.Close() }()

	return decodeResponse(response, result)
}

func decodeResponse(response *http.Response, result any) error {
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Newf("read response: %w", err)
	}

	if response.StatusCode >= http.StatusBadRequest {
		return &StatusError{Code: response.StatusCode, Body: b}
	}

	if result == nil || len(b) == 0 {
		return nil
	}

	if err := json.Unmarshal(b, result); err != nil {
		return errors.Newf("decode response: %w", err)
	}

	return nil
}

func (c *Client) httpClient() *http.Client {
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: c.Identity.TLS("http/1.1")}}
	}

	return c.http
}

func waitRetryDelay(ctx context.Context) {
	t := time.NewTimer(retryDelay)
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
