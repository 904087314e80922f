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

// upstreamPrefix is the prefix of the names of prepared statements on upstream connections.
const upstreamPrefix = "lab_"

const setConfigFunction = "set_config"

// statementNameBytes is the number of bytes of SHA-256 in a statement name. A shorter or weaker hash would allow a
// client to construct a statement with the same name as a statement of another organisation.
const statementNameBytes = 16

// preparedStatement is a prepared statement. Sessions may share it, so it must not be modified.
type preparedStatement struct {
	name  string // name on upstream connections
	query string
	types []uint32 // parameter type OIDs
	text  labstatement.Text
}

// prepare returns the prepared statement of a Parse message. If another session holds an equal statement, it returns
// that one.
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

// checkSupported returns an error if a statement is not supported on shared upstream connections.
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

// forGateway returns the statement in the gateway's representation.
func (p *preparedStatement) forGateway() lab.PreparedStatement {
	return lab.PreparedStatement{Name: p.name, Query: p.query, ParameterTypes: p.types}
}

// singleStatement returns the only statement of the text. It returns a statement of kind Other if p is nil or the text
// is empty.
func (p *preparedStatement) singleStatement() labstatement.Statement {
	if p == nil {
		return labstatement.Statement{}
	}

	one, _ := p.text.Single()

	return one
}

// cutString returns the zero-terminated string at the start of a message body and the rest of the body.
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
