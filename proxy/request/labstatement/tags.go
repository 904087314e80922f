package labstatement

import (
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	tagPrefix     = "laburnumlock:"
	maxNameLength = 128 // bytes of a name in a tag
	nameAlphabet  = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:-"
)

// ErrInvalidTag is returned for a malformed, unknown or contradictory tag.
var ErrInvalidTag = errors.New("invalid laburnumlock tag")

// Tags are what comments say about a text.
type Tags struct {
	IdempotencyKey string // name of a non-idempotent request
	Class          string // read class, or may_wait
}

// FillFrom takes over tags that are not yet set.
func (t *Tags) FillFrom(other Tags) {
	if t.IdempotencyKey == "" {
		t.IdempotencyKey = other.IdempotencyKey
	}

	if t.Class == "" {
		t.Class = other.Class
	}
}

// addComment adds the tag of one comment, if it is one.
func (t *Tags) addComment(body string) error {
	body = strings.TrimSpace(body)
	if !strings.HasPrefix(body, tagPrefix) {
		return nil
	}

	key, value, _ := strings.Cut(body[len(tagPrefix):], "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)

	if !ValidName(value) {
		return errors.Newf("%w: %q is not a name", ErrInvalidTag, value)
	}

	var field *string

	switch key {
	case "once":
		field = &t.IdempotencyKey
	case "class":
		field = &t.Class
	default:
		return errors.Newf("%w: unknown key %q", ErrInvalidTag, key)
	}

	if *field != "" && *field != value {
		return errors.Newf("%w: %s is given twice", ErrInvalidTag, key)
	}

	*field = value

	return nil
}

// ValidName reports whether a request name or class consists of at most 128 letters, digits and "_.:-".
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameLength && strings.Trim(name, nameAlphabet) == ""
}
