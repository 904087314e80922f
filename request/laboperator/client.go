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
	maxResponseBytes = 64 << 20 // bytes; the audit trail may be long
)

// Client sends requests to the control instances in turn until one answers; exported fields are set before use.
type Client struct {
	Addresses []string // host:port of the operators' API
	Identity  *labkeys.Identity
	Attempts  int // how often all addresses are tried, 1 when zero

	http *http.Client
}

// StatusError is an answer that refuses the request.
type StatusError struct {
	Code int
	Body []byte
}

// Error returns the status and the answer's text.
func (e *StatusError) Error() string {
	return http.StatusText(e.Code) + ": " + string(bytes.TrimSpace(e.Body))
}

// Do sends a request with a JSON body, nil for none, and decodes the answer unless answer is nil. Requests must be
// idempotent: one whose answer was lost is sent again to the next control instance. A refusal is a *StatusError.
func (c *Client) Do(ctx context.Context, method, path string, body, answer any) error {
	var content []byte

	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return errors.Newf("encode request: %w", err)
		}
	}

	return c.sendWithRetries(ctx, method, path, content, answer)
}

func (c *Client) sendWithRetries(ctx context.Context, method, path string, content []byte, answer any) error {
	err := errors.New("no control instance is configured")

	for n := range max(1, c.Attempts) {
		if n > 0 {
			waitRetryDelay(ctx)
		}

		for _, a := range c.Addresses {
			err = c.send(ctx, a, method, path, content, answer)
			if !tryNext(err) || ctx.Err() != nil {
				return err
			}
		}
	}

	return err
}

// tryNext reports whether another control instance may do better.
func tryNext(err error) bool {
	var s *StatusError

	return err != nil && (!errors.As(err, &s) || s.Code == http.StatusServiceUnavailable)
}

func (c *Client) send(ctx context.Context, address, method, path string, content []byte, answer any) error {
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

	return decodeResponse(response, answer)
}

func decodeResponse(response *http.Response, answer any) error {
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Newf("read answer: %w", err)
	}

	if response.StatusCode >= http.StatusBadRequest {
		return &StatusError{Code: response.StatusCode, Body: b}
	}

	if answer == nil || len(b) == 0 {
		return nil
	}

	if err := json.Unmarshal(b, answer); err != nil {
		return errors.Newf("decode answer: %w", err)
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
