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

const valid = `{"database":"d","member":"m","address":"127.0.0.1:1","region":"r","availability_zone":"z",` +
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

// Guards against accepting a malformed announcement, and against reporting success when accept returns an error.
func TestHandler(t *testing.T) {
	assert.Equal(t, len(post(t, valid, nil, http.StatusNoContent)), 1)
	post(t, valid, errors.New("no quorum"), http.StatusServiceUnavailable)

	for _, invalid := range []string{
		`{`, strings.Replace(valid, `"d"`, `""`, 1), strings.Replace(valid, "127.0.0.1", "host", 1),
		strings.Replace(valid, `"slots":3`, `"slots":0`, 1), strings.Replace(valid, `25`, `2`, 1),
		strings.Replace(valid, `"leaving"`, `"leving"`, 1), strings.Repeat(" ", 17<<10) + valid,
	} {
		assert.Equal(t, len(post(t, invalid, nil, http.StatusBadRequest)), 0)
	}
}
