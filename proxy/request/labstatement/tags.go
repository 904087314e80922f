package labstatement

import (
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	tagPrefix     = "laburnumlock:"
	maxNameLength = 128 // bytes
	nameAlphabet  = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:-"
)

// ErrInvalidTag is returned for a tag with an unknown key or an invalid value, and for tags that contradict each other.
var ErrInvalidTag = errors.New("invalid laburnumlock tag")

// Tags are the values of the tags in the comments of a text, such as /* laburnumlock:once=NAME */.
type Tags struct {
	IdempotencyKey string // value of the key "once"; of all requests with the same value, at most one runs
	Class          string // value of the key "class": the name of a read class, or may_wait
}

// FillFrom sets those tags that t lacks to the values in other.
func (t *Tags) FillFrom(other Tags) {
	if t.IdempotencyKey == "" {
		t.IdempotencyKey = other.IdempotencyKey
	}

	if t.Class == "" {
		t.Class = other.Class
	}
}

// addComment adds the tag that a comment contains. Comments without the tag prefix are ignored.
func (t *Tags) addComment(body string) error {
	body = strings.TrimSpace(body)
	if !strings.HasPrefix(body, tagPrefix) {
		return nil
	}

	key, value, _ := strings.Cut(body[len(tagPrefix):], "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)

	if !ValidName(value) {
		return errors.Newf("%w: value %q is not a valid name", ErrInvalidTag, value)
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
		return errors.Newf("%w: key %q has two different values", ErrInvalidTag, key)
	}

	*field = value

	return nil
}

// ValidName reports whether an idempotency key or class is valid: 1 to 128 letters, digits or characters of "_.:-".
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameLength && strings.Trim(name, nameAlphabet) == ""
}
