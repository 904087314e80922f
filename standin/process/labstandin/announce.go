package labstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	announcePath    = "/v1/announcements"
	announceTimeout = time.Second
)

// startAnnouncing starts one goroutine per member that posts the member's announcement at each announce interval.
func (g *Group) startAnnouncing(ctx context.Context) {
	if len(g.AnnounceURLs) == 0 {
		return
	}

	for _, m := range g.members {
		g.tasks.Go(func() {
			for first := 0; ; {
				first = m.announce(ctx, first)

				if sleep(ctx, g.AnnounceInterval) != nil {
					return
				}
			}
		})
	}
}

// announce posts the announcement to one URL after another, starting at index first, until one accepts it. It
// returns the index of that URL, or first if none accepted it.
func (m *Member) announce(ctx context.Context, first int) int {
	if !m.isServing() {
		return first
	}

	body, err := json.Marshal(m.Announcement())
	if err != nil {
		return first
	}

	urls := m.group.AnnounceURLs
	for i := range urls {
		n := (first + i) % len(urls)
		if post(ctx, urls[n], body) == nil {
			return n
		}
	}

	return first
}

func (m *Member) isServing() bool {
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	return m.running && m.thawed == nil
}

func post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()

	url = strings.TrimSuffix(url, "/") + announcePath

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Newf("create announcement request: %w", err)
	}

	request.Header.Set("Content-Type", "application/json")

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Newf("post announcement: %w", err)
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode/100 != 2 {
		return errors.Newf("announcement refused with status %d", response.StatusCode)
	}

	return nil
}
