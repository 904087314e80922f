package labstatement

import "strings"

type tokenKind uint8

const (
	end     tokenKind = iota
	word              // unquoted identifier or keyword
	quoted            // "identifier"
	literal           // string constant
	number            // numeric constant or $n
	symbol            // one character
	broken            // unterminated quote or comment
)

type token struct {
	kind  tokenKind
	text  string
	start int
}

func (t token) is(c byte) bool {
	return t.kind == symbol && t.text[0] == c
}

// lower returns a keyword in lower case, empty for other tokens.
func (t token) lower() string {
	if t.kind != word {
		return ""
	}

	return strings.ToLower(t.text)
}

// name returns an identifier as PostgreSQL stores it.
func (t token) name() string {
	if t.kind == quoted {
		return strings.ReplaceAll(t.text[1:len(t.text)-1], `""`, `"`)
	}

	return t.lower()
}

// scanner splits SQL text into tokens by PostgreSQL's lexical rules with standard_conforming_strings on.
type scanner struct {
	text     string
	at       int
	comments func(body string)
	escapes  bool // saw a construct that another lexical setting would read differently
}

func (c *scanner) peek(offset int) byte {
	if c.at+offset < len(c.text) {
		return c.text[c.at+offset]
	}

	return 0
}

func (c *scanner) next() token {
	if !c.skipSpace() {
		return token{kind: broken, start: c.at}
	}

	start := c.at
	if start >= len(c.text) {
		return token{kind: end, start: start}
	}

	kind := c.scan(c.text[start])

	return token{kind: kind, text: c.text[start:c.at], start: start}
}

func (c *scanner) scan(b byte) tokenKind {
	switch b {
	case '\'':
		return c.quote('\'', false, literal)
	case '"':
		return c.quote('"', false, quoted)
	case '$':
		return c.dollar()
	}

	switch {
	case b|0x20 == 'e' && c.peek(1) == '\'':
		c.at++

		return c.quote('\'', true, literal)
	case b|0x20 == 'u' && c.peek(1) == '&' && (c.peek(2) == '\'' || c.peek(2) == '"'):
		c.escapes = true // may spell any identifier
		c.at += 2

		return c.quote(c.peek(0), false, literal)
	case isDigit(b) || b == '.' && isDigit(c.peek(1)):
		return c.number()
	case isLetter(b):
		return c.word()
	}

	c.at++

	return symbol
}

func (c *scanner) word() tokenKind {
	for b := c.peek(0); isLetter(b) || isDigit(b) || b == '$'; b = c.peek(0) {
		c.at++
	}

	return word
}

// number takes digits only: a trailing letter starts a new token in PostgreSQL before version 15.
func (c *scanner) number() tokenKind {
	for isDigit(c.peek(0)) || c.peek(0) == '.' {
		c.at++
	}

	return number
}

func (c *scanner) quote(mark byte, backslash bool, kind tokenKind) tokenKind {
	for c.at++; c.at < len(c.text); c.at++ {
		switch c.text[c.at] {
		case mark:
			if c.peek(1) != mark {
				c.at++

				return kind
			}

			c.at++
		case '\\':
			if backslash {
				c.at++
			} else if c.peek(1) == '\'' {
				c.escapes = true // an escaped quote when standard_conforming_strings is off
			}
		}
	}

	c.at = len(c.text)

	return broken
}

// dollar scans $n, $$...$$ or $tag$...$tag$.
func (c *scanner) dollar() tokenKind {
	i := c.at + 1
	if i < len(c.text) && isDigit(c.text[i]) {
		c.at++

		return c.number()
	}

	for i < len(c.text) && (isLetter(c.text[i]) || isDigit(c.text[i])) {
		i++
	}

	if i >= len(c.text) || c.text[i] != '$' {
		c.at++

		return symbol
	}

	tag := c.text[c.at : i+1]

	size := strings.Index(c.text[i+1:], tag)
	if size < 0 {
		c.at = len(c.text)

		return broken
	}

	c.at = i + 1 + size + len(tag)

	return literal
}

// skipSpace skips white space and comments; it returns false at an unterminated comment.
func (c *scanner) skipSpace() bool {
	for c.at < len(c.text) {
		switch b := c.text[c.at]; {
		case b == ' ' || b == '\t' || b == '\n' || b == '\r' || b == '\f' || b == '\v':
			c.at++
		case b == '-' && c.peek(1) == '-':
			c.lineComment()
		case b == '/' && c.peek(1) == '*':
			if !c.blockComment() {
				return false
			}
		default:
			return true
		}
	}

	return true
}

func (c *scanner) lineComment() {
	size := strings.IndexAny(c.text[c.at:], "\r\n")
	if size < 0 {
		size = len(c.text) - c.at
	}

	c.at += size
}

// blockComment skips a comment, which may contain comments.
func (c *scanner) blockComment() bool {
	start, depth := c.at, 0

	for c.at < len(c.text) {
		switch {
		case c.text[c.at] == '/' && c.peek(1) == '*':
			depth++
			c.at += 2
		case c.text[c.at] == '*' && c.peek(1) == '/':
			depth--
			c.at += 2

			if depth == 0 {
				if c.comments != nil {
					c.comments(c.text[start+2 : c.at-2])
				}

				return true
			}
		default:
			c.at++
		}
	}

	return false
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}

func isLetter(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b >= 0x80
}
