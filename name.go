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
	switch err := checkText(name); {
	case err != nil:
		return err
	case name == "":
		return errors.New("name is empty")
	case strings.ContainsFunc(name, unicode.IsSpace):
		return errors.Newf("name %q has a blank", name)
	}

	return nil
}

// checkText returns an error for a text from outside that is too long or that no writer of names would use.
func checkText(text string) error {
	switch {
	case len(text) > maxNameBytes:
		return errors.Newf("name has %d bytes", len(text))
	case !utf8.ValidString(text):
		return errors.Newf("name %q is not valid UTF-8", text)
	case strings.ContainsFunc(text, unicode.IsControl):
		return errors.Newf("name %q has a control character", text)
	}

	return nil
}
