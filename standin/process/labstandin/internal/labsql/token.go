package labsql

import (
	"strings"

	"github.com/cockroachdb/errors"
)

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted
	tokenString
	tokenNumber
	tokenParameter
	tokenSymbol
)

type token struct {
	kind   tokenKind
	text   string
	offset int // position of the token in bytes from the start of the SQL text
}

var errUnterminated = errors.New("unterminated quoted text or comment")

// scan splits SQL into tokens and drops comments.
func scan(sql string) ([]token, error) {
	var tokens []token

	for i := 0; i < len(sql); {
		t, next, err := scanOne(sql, i)
		if err != nil {
			return nil, err
		}

		if t.kind != tokenEnd {
			tokens = append(tokens, t)
		}

		i = next
	}

	return tokens, nil
}

func scanOne(sql string, i int) (token, int, error) {
	switch c := sql[i]; {
	case strings.HasPrefix(sql[i:], "--"):
		return token{}, scanWhile(sql, i, func(c byte) bool { return c != '\n' }), nil
	case strings.HasPrefix(sql[i:], "/*"):
		return skipComment(sql, i)
	case strings.IndexByte(" \t\r\n", c) >= 0:
		return token{}, i + 1, nil
	case c == '\'':
		return scanQuoted(sql, i, tokenString)
	case c == '"':
		return scanQuoted(sql, i, tokenQuoted)
	case c == '$':
		end := scanWhile(sql, i+1, isDigit)
		return token{tokenParameter, sql[i+1 : end], i}, end, nil
	}

	t := scanPlain(sql, i)

	return t, i + len(t.text), nil
}

// scanPlain scans words, numbers and symbols.
func scanPlain(sql string, i int) token {
	switch c := sql[i]; {
	case isLetter(c):
		end := scanWhile(sql, i, func(c byte) bool { return isLetter(c) || isDigit(c) || c == '.' })
		return token{tokenWord, lowerASCII(sql[i:end]), i}
	case isDigit(c):
		end := scanWhile(sql, i, func(c byte) bool { return isDigit(c) || c == '.' })
		return token{tokenNumber, sql[i:end], i}
	case strings.HasPrefix(sql[i:], "::"), strings.HasPrefix(sql[i:], "||"):
		return token{tokenSymbol, sql[i : i+2], i}
	}

	return token{tokenSymbol, sql[i : i+1], i}
}

func scanWhile(sql string, i int, accept func(byte) bool) int {
	for i < len(sql) && accept(sql[i]) {
		i++
	}

	return i
}

func skipComment(sql string, i int) (token, int, error) {
	depth := 0

	for i < len(sql) {
		switch {
		case strings.HasPrefix(sql[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(sql[i:], "*/"):
			depth--
			i += 2
		default:
			i++
		}

		if depth == 0 {
			return token{}, i, nil
		}
	}

	return token{}, i, errUnterminated
}

func scanQuoted(sql string, i int, kind tokenKind) (token, int, error) {
	quote := sql[i]

	var text strings.Builder

	for j := i + 1; j < len(sql); j++ {
		if sql[j] != quote {
			text.WriteByte(sql[j])
			continue
		}

		if j+1 == len(sql) || sql[j+1] != quote {
			return token{kind, text.String(), i}, j + 1, nil
		}

		text.WriteByte(quote)
		j++
	}

	return token{}, i, errUnterminated
}

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

// lowerASCII converts only ASCII letters to lower case. The result has the same length, which scanOne relies on to find
// the end of a word.
func lowerASCII(word string) string {
	b := []byte(word)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}

	return string(b)
}
