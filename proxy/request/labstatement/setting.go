package labstatement

import "strings"

// Setting is the content of a SET or RESET.
type Setting struct {
	Name  string // lower case; "all" for RESET ALL
	Value string // a single literal without its quotes, else the text as written
	Local bool   // ends with the transaction
	Reset bool
}

// ParameterPrefix starts the names of the system's own parameters.
const ParameterPrefix = "laburnumlock."

// IsProxyParameter reports whether the parameter is one of the system's own.
func (s Setting) IsProxyParameter() bool {
	return strings.HasPrefix(s.Name, ParameterPrefix)
}

// parseSetting reads the part after SET or RESET.
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
		s.Value = strings.TrimSpace(text[t.start:]) // SET ROLE name, SET NAMES 'x'

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
