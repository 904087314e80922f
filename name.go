package lab

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const maxNameBytes = 255

// CheckName returns an error unless a name from outside, such as that of a member or a service, can be a field of a line that
// is sent to a member. The fields of a line are separated by blanks, and what follows a line end is another message.
func CheckName(name string) error {
	switch {
	case name == "" || len(name) > maxNameBytes:
		return errors.Newf("name has %d bytes", len(name))
	case !utf8.ValidString(name):
		return errors.Newf("name %q is not valid UTF-8", name)
	case strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
		return errors.Newf("name %q has a blank or a control character", name)
	}

	return nil
}
