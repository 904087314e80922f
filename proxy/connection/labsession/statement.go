package labsession

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// upstreamPrefix starts the names of prepared statements on upstream connections.
const upstreamPrefix = "lab_"

const setConfigFunction = "set_config"

const statementNameBytes = 16 // of SHA-256; a shorter or weaker hash would let a caller forge another organisation's statement

// preparedStatement is a prepared statement of the session.
type preparedStatement struct {
	name  string // on upstream connections
	query string
	types []uint32
	text  labstatement.Text
}

// prepare returns the statement of a Parse message.
func (v *Server) prepare(query string, types []uint32) (*preparedStatement, *failure) {
	name := statementName(query, types)
	if t := v.shared.get(name); t != nil {
		return t, nil
	}

	text, err := labstatement.Parse(query)
	if err != nil {
		return nil, &failure{codeInvalidParameter, err.Error(), ""}
	}

	if f := checkSupported(text); f != nil {
		return nil, f
	}

	return v.shared.put(&preparedStatement{name: name, query: query, types: types, text: text}), nil
}

// statementName returns the name of a statement on upstream connections.
func statementName(query string, types []uint32) string {
	h := sha256.New()
	_, _ = io.WriteString(h, query)
	_, _ = h.Write([]byte{0})

	var b [4]byte
	for _, t := range types {
		binary.BigEndian.PutUint32(b[:], t)
		_, _ = h.Write(b[:])
	}

	return upstreamPrefix + hex.EncodeToString(h.Sum(nil)[:statementNameBytes])
}

// checkSupported returns an error for statements that can't work over shared connections.
func checkSupported(t labstatement.Text) *failure {
	for _, s := range t.Statements() {
		switch s.Kind() {
		case labstatement.Copy:
			return errCopy
		case labstatement.Listen:
			return errListen
		case labstatement.Set:
			if f := checkSetting(s.Setting()); f != nil {
				return f
			}
		}

		if c := s.SessionCall(); c != "" && c != setConfigFunction {
			return errSessionLock
		}
	}

	return nil
}

func (p *preparedStatement) forGateway() lab.Statement {
	return lab.Statement{Name: p.name, Query: p.query, Types: p.types}
}

// singleStatement returns the statement's only part; an empty statement is of kind Other.
func (p *preparedStatement) singleStatement() labstatement.Statement {
	if p == nil {
		return labstatement.Statement{}
	}

	one, _ := p.text.Single()

	return one
}

// cutString splits a message body after its first zero-terminated string.
func cutString(body []byte) (text string, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return "", nil, false
	}

	return string(body[:i]), body[i+1:], true
}

// parseTypes reads the parameter types of a Parse message.
func parseTypes(body []byte) ([]uint32, bool) {
	if len(body) < 2 {
		return nil, false
	}

	n := int(binary.BigEndian.Uint16(body))
	if len(body) != 2+4*n {
		return nil, false
	}

	if n == 0 {
		return nil, true
	}

	types := make([]uint32, n)
	for i := range types {
		types[i] = binary.BigEndian.Uint32(body[2+4*i:])
	}

	return types, true
}
