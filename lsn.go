package lab

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ParseLSN converts a pg_lsn text such as 16/B374D848 to an offset in bytes; an empty text is 0.
func ParseLSN(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}

	high, low, ok := strings.Cut(text, "/")
	if !ok {
		return 0, errors.Newf("log position %q has no slash", text)
	}

	h, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return 0, errors.Newf("log position %q: %w", text, err)
	}

	l, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, errors.Newf("log position %q: %w", text, err)
	}

	return h<<32 | l, nil
}

// FormatLSN formats an offset in bytes as pg_lsn text.
func FormatLSN(offset uint64) string {
	return fmt.Sprintf("%X/%X", offset>>32, offset&0xFFFFFFFF)
}
