package labannounce_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labannounce"
)

const good = `{"database":"d","member":"m","address":"127.0.0.1:1","region":"r","availability_zone":"z",` +
	`"incarnation":1,"slots":3,"connections":25,"leaving":false}`

func post(t *testing.T, body string, failure error, status int) []lab.Announcement {
	t.Helper()

	var got []lab.Announcement

	h := labannounce.Handler(func(_ context.Context, a lab.Announcement) error {
		got = append(got, a)

		return failure
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announcements", strings.NewReader(body)))
	assert.Equal(t, w.Code, status, w.Body.String())

	return got
}

// Guards against a malformed announcement reaching the catalog, and against a refused one being taken for accepted.
func TestHandler(t *testing.T) {
	assert.Equal(t, len(post(t, good, nil, http.StatusNoContent)), 1)
	post(t, good, errors.New("no quorum"), http.StatusServiceUnavailable)

	for _, wrong := range []string{
		`{`, strings.Replace(good, `"d"`, `""`, 1), strings.Replace(good, "127.0.0.1", "host", 1),
		strings.Replace(good, `"slots":3`, `"slots":0`, 1), strings.Replace(good, `25`, `2`, 1),
		strings.Replace(good, `"leaving"`, `"leving"`, 1), strings.Repeat(" ", 17<<10) + good,
	} {
		assert.Equal(t, len(post(t, wrong, nil, http.StatusBadRequest)), 0)
	}
}
