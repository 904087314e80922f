package labstatement

import "strings"

type tokenKind uint8

const (
	endOfText    tokenKind = iota
	word                   // unquoted identifier or keyword
	quoted                 // "identifier"
	literal                // string constant
	number                 // numeric constant or parameter $n
	symbol                 // any other single character
	unterminated           // unterminated quote or comment
)

type token struct {
	kind  tokenKind
	text  string
	start int
}

func (t token) isSymbol(c byte) bool {
	return t.kind == symbol && t.text[0] == c
}

// keyword returns the text of a word in lower case. It is empty for other tokens.
func (t token) keyword() string {
	if t.kind != word {
		return ""
	}

	return strings.ToLower(t.text)
}

// identifier returns the name as PostgreSQL interprets it: unquoted names are folded to lower case.
func (t token) identifier() string {
	if t.kind == quoted {
		return strings.ReplaceAll(t.text[1:len(t.text)-1], `""`, `"`)
	}

	return t.keyword()
}

// scanner splits SQL text into tokens by PostgreSQL's lexical rules with standard_conforming_strings on.
type scanner struct {
	text      string
	offset    int
	onComment func(body string) // called for each block comment, if set
	ambiguous bool              // the tokens depend on standard_conforming_strings, or the text has Unicode escapes
}

func (c *scanner) peek(offset int) byte {
	if c.offset+offset < len(c.text) {
		return c.text[c.offset+offset]
	}

	return 0
}

func (c *scanner) next() token {
	if !c.skipSpace() {
		return token{kind: unterminated, start: c.offset}
	}

	start := c.offset
	if start >= len(c.text) {
		return token{kind: endOfText, start: start}
	}

	kind := c.scan(c.text[start])

	return token{kind: kind, text: c.text[start:c.offset], start: start}
}

func (c *scanner) scan(b byte) tokenKind {
	switch b {
	case '\'':
		return c.scanQuoted('\'', false, literal)
	case '"':
		return c.scanQuoted('"', false, quoted)
	case '$':
		return c.scanDollar()
	}

	switch {
	case b|0x20 == 'e' && c.peek(1) == '\'':
		c.offset++

		return c.scanQuoted('\'', true, literal)
	case b|0x20 == 'u' && c.peek(1) == '&' && (c.peek(2) == '\'' || c.peek(2) == '"'):
		c.ambiguous = true // Unicode escapes can spell any identifier
		c.offset += 2

		return c.scanQuoted(c.peek(0), false, literal)
	case isDigit(b) || b == '.' && isDigit(c.peek(1)):
		return c.scanNumber()
	case isLetter(b):
		return c.scanWord()
	}

	c.offset++

	return symbol
}

func (c *scanner) scanWord() tokenKind {
	for b := c.peek(0); isLetter(b) || isDigit(b) || b == '$'; b = c.peek(0) {
		c.offset++
	}

	return word
}

// scanNumber scans digits and decimal points. A letter after them starts a new token, as in PostgreSQL before version 15.
func (c *scanner) scanNumber() tokenKind {
	for isDigit(c.peek(0)) || c.peek(0) == '.' {
		c.offset++
	}

	return number
}

func (c *scanner) scanQuoted(delimiter byte, backslashEscapes bool, kind tokenKind) tokenKind {
	for c.offset++; c.offset < len(c.text); c.offset++ {
		switch c.text[c.offset] {
		case delimiter:
			if c.peek(1) != delimiter {
				c.offset++

				return kind
			}

			c.offset++
		case '\\':
			if backslashEscapes {
				c.offset++
			} else if c.peek(1) == '\'' {
				c.ambiguous = true // \' is an escaped quote when standard_conforming_strings is off
			}
		}
	}

	c.offset = len(c.text)

	return unterminated
}

// scanDollar scans a parameter $n or a dollar-quoted string, $$...$$ or $tag$...$tag$.
func (c *scanner) scanDollar() tokenKind {
	i := c.offset + 1
	if i < len(c.text) && isDigit(c.text[i]) {
		c.offset++

		return c.scanNumber()
	}

	for i < len(c.text) && (isLetter(c.text[i]) || isDigit(c.text[i])) {
		i++
	}

	if i >= len(c.text) || c.text[i] != '$' {
		c.offset++

		return symbol
	}

	tag := c.text[c.offset : i+1]

	size := strings.Index(c.text[i+1:], tag)
	if size < 0 {
		c.offset = len(c.text)

		return unterminated
	}

	c.offset = i + 1 + size + len(tag)

	return literal
}

// skipSpace skips white space and comments. It returns false if a comment is unterminated.
func (c *scanner) skipSpace() bool {
	for c.offset < len(c.text) {
		switch b := c.text[c.offset]; {
		case b == ' ' || b == '\t' || b == '\n' || b == '\r' || b == '\f' || b == '\v':
			c.offset++
		case b == '-' && c.peek(1) == '-':
			c.skipLineComment()
		case b == '/' && c.peek(1) == '*':
			if !c.skipBlockComment() {
				return false
			}
		default:
			return true
		}
	}

	return true
}

func (c *scanner) skipLineComment() {
	size := strings.IndexAny(c.text[c.offset:], "\r\n")
	if size < 0 {
		size = len(c.text) - c.offset
	}

	c.offset += size
}

// skipBlockComment skips a block comment, which may contain nested ones. It returns false if the comment is
// unterminated.
func (c *scanner) skipBlockComment() bool {
	start, depth := c.offset, 0

	for c.offset < len(c.text) {
		switch {
		case c.text[c.offset] == '/' && c.peek(1) == '*':
			depth++
			c.offset += 2
		case c.text[c.offset] == '*' && c.peek(1) == '/':
			depth--
			c.offset += 2

			if depth == 0 {
				if c.onComment != nil {
					c.onComment(c.text[start+2 : c.offset-2])
				}

				return true
			}
		default:
			c.offset++
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
