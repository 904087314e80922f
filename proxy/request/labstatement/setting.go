package labstatement

import "strings"

// Setting is the parameter change of a SET or RESET statement.
type Setting struct {
	Name  string // parameter name in lower case; "all" for RESET ALL
	Value string // content of a single string literal without its quotes, otherwise the text as written
	Local bool   // SET LOCAL, whose effect ends with the transaction
	Reset bool   // RESET, or SET to DEFAULT
}

// ParameterPrefix is the prefix of the parameters that the proxy handles itself.
const ParameterPrefix = "laburnumlock."

// IsProxyParameter reports whether the proxy handles the parameter itself.
func (s Setting) IsProxyParameter() bool {
	return strings.HasPrefix(s.Name, ParameterPrefix)
}

// parseSetting parses the text after SET or RESET. It returns false for SET TRANSACTION and SET CONSTRAINTS, which
// change no parameter, and for text without a parameter name.
func parseSetting(text string, reset bool) (Setting, bool) {
	s := Setting{Reset: reset}
	c := scanner{text: text}

	t := c.next()
	switch t.keyword() {
	case "local":
		s.Local = true
		t = c.next()
	case "session":
		t = c.next()
	}

	switch t.keyword() {
	case "transaction", "constraints":
		return Setting{}, false
	case "time", "authorization", "characteristics":
		s.Name = t.keyword()
		s.Value = strings.TrimSpace(text[c.offset:])

		return s, t.kind == word
	}

	if t.kind != word && t.kind != quoted {
		return Setting{}, false
	}

	s.Name = t.identifier()
	t = c.next()

	for t.isSymbol('.') {
		s.Name += "." + c.next().identifier()
		t = c.next()
	}

	s.Name = strings.ToLower(s.Name)
	if !t.isSymbol('=') && t.keyword() != "to" {
		s.Value = strings.TrimSpace(text[t.start:]) // forms without = or TO: SET ROLE name, SET NAMES 'x'

		return s, true
	}

	start := c.offset
	t = c.next()

	rest := strings.TrimSpace(text[start:])
	if t.kind == literal && c.next().kind == endOfText {
		rest = unquote(t.text)
	}

	s.Value = rest
	s.Reset = s.Reset || strings.EqualFold(rest, "default")

	return s, true
}

func unquote(text string) string {
	if len(text) < 2 || text[0] != '\'' {
		return text
	}

	return strings.ReplaceAll(text[1:len(text)-1], "''", "'")
}
