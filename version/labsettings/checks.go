package labsettings

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// checks collects the errors of a document, so that all of them are reported at once.
type checks struct {
	document *document
	errs     []error
}

func (c *checks) fail(path, format string, a ...any) {
	c.errs = append(c.errs, c.document.errorAtPath(path, format, a...))
}

func (c *checks) name(path, value string) {
	if value == "" || len(value) > 63 || strings.Trim(value, "abcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
		c.fail(path, "%q must be 1 to 63 of the characters a-z, 0-9, - and _", value)
	}
}

func (c *checks) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, "%q must be an IP address and port, such as 127.0.0.1:5432", value)
	}
}

func (c *checks) required(path, value string) {
	if value == "" {
		c.fail(path, "must not be empty")
	}
}

func (c *checks) oneOf(path, value string, accepted ...string) {
	if !slices.Contains(accepted, value) {
		c.fail(path, "%q must be one of %s", value, strings.Join(accepted, ", "))
	}
}

func (c *checks) between(path string, value, low, high int64) {
	if value < low || value > high {
		c.fail(path, "%d must be from %d to %d", value, low, high)
	}
}

func (c *checks) err() error {
	return errors.Join(c.errs...)
}
