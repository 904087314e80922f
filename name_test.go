package lab_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestCheckName guards against a name that ends the line in which it is sent to a member, or becomes two fields of it.
func TestCheckName(t *testing.T) {
	for _, name := range []string{"i-7f3a91c2", "rota_core", "k:1/x@y", "münchen", strings.Repeat("n", 255)} {
		assert.NilError(t, lab.CheckName(name))
	}

	for _, name := range []string{
		"", "a\r\nb", "a\rb", "a\nb", "a b", "a\tb", "a\x00b", "a\u0085b", "a\u2028b", "a\xffb", " a", strings.Repeat("n", 256),
	} {
		assert.Assert(t, lab.CheckName(name) != nil, "%q", name)
	}
}
