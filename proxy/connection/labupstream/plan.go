package labupstream

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

// ErrMalformed is returned for a batch that is neither a single Query nor a sequence of extended-query messages that
// ends with its only Sync. Nothing of such a batch is sent.
var ErrMalformed = errors.New("malformed message batch")

// plan holds the messages to send for a batch, and the ParseComplete and CloseComplete messages that the upstream must
// send in response. Injected messages are those that newPlan adds to the batch; the responses to them are not forwarded
// to the client.
type plan struct {
	preparation []byte          // messages that prepare statements ahead of a simple query; usually empty
	out         []byte          // messages of the batch and injected messages
	parses      []expectedParse // ParseComplete messages that have not arrived yet, in order
	closes      []expectedClose // CloseComplete messages that have not arrived yet, in order
}

type expectedParse struct {
	name     string
	key      string // statementKey of the statement
	injected bool   // the Parse was added by newPlan
}

type expectedClose struct {
	name        string
	isStatement bool // false for a portal
	injected    bool // the Close was added by newPlan
}

// message is one frontend message of a batch.
type message struct {
	messageType byte
	body        []byte
	raw         []byte
}

// splitMessage returns the first message of data and the bytes after it.
func splitMessage(data []byte) (message, []byte, error) {
	if len(data) < headerSize {
		return message{}, nil, ErrMalformed
	}

	length := uint64(binary.BigEndian.Uint32(data[1:]))
	if length < headerSize-1 || length+1 > uint64(len(data)) {
		return message{}, nil, ErrMalformed
	}

	end := int(length) + 1

	return message{messageType: data[0], body: data[headerSize:end], raw: data[:end]}, data[end:], nil
}

// newPlan returns the plan for a batch on a connection. The map prepared holds the statementKey of each prepared
// statement of the connection, by name.
func newPlan(batch lab.MessageBatch, prepared map[string]string) (plan, error) {
	p := plan{out: make([]byte, 0, len(batch.Messages)+len(lab.PositionQuery)+64)}

	for _, s := range batch.Statements {
		p.prepare(s, prepared)
	}

	var (
		m    message
		err  error
		rest = batch.Messages
	)

	for len(rest) > 0 {
		if m, rest, err = splitMessage(rest); err != nil {
			return plan{}, err
		}

		if err = p.addMessage(m, prepared, len(rest) == 0); err != nil {
			return plan{}, err
		}
	}

	if m.messageType != 'Q' && m.messageType != 'S' {
		return plan{}, ErrMalformed
	}

	return p, nil
}

// prepare injects the messages that prepare a statement on the connection, unless the connection already has it.
func (p *plan) prepare(s lab.PreparedStatement, prepared map[string]string) {
	currentKey, found := prepared[s.Name]
	key := statementKey(s.Query, s.ParameterTypes)

	if found && currentKey == key {
		return
	}

	if found {
		p.closeStatement(s.Name)
	}

	// Encoding Parse and Close fails only above 1 GB, which the size limit of a batch excludes.
	p.out, _ = (&pgproto3.Parse{Name: s.Name, Query: s.Query, ParameterOIDs: s.ParameterTypes}).Encode(p.out)
	p.parses = append(p.parses, expectedParse{name: s.Name, key: key, injected: true})
}

func (p *plan) closeStatement(name string) {
	p.out, _ = (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(p.out)
	p.closes = append(p.closes, expectedClose{name: name, isStatement: true, injected: true})
}

func (p *plan) addMessage(m message, prepared map[string]string, last bool) error {
	switch m.messageType {
	case 'Q':
		return p.addQuery(m, last)
	case 'S':
		if !last {
			return ErrMalformed
		}
	case 'P':
		return p.addParse(m, prepared)
	case 'C':
		if len(m.body) < 2 {
			return ErrMalformed
		}

		p.closes = append(p.closes, expectedClose{name: cString(m.body[1:]), isStatement: m.body[0] == 'S'})
	case 'B', 'D', 'E', 'H':
	default:
		return ErrMalformed
	}

	p.out = append(p.out, m.raw...)

	return nil
}

// addQuery moves the injected messages into a preparation that ends with a Sync of its own and is run before the query
// is sent. An error in the preparation must prevent the query, but PostgreSQL executes a query after a Sync even when
// the messages before the Sync have failed.
func (p *plan) addQuery(m message, last bool) error {
	if !last || len(m.body) == 0 {
		return ErrMalformed
	}

	for _, s := range p.parses {
		if !s.injected {
			return ErrMalformed
		}
	}

	if len(p.out) > 0 {
		p.preparation, _ = (&pgproto3.Sync{}).Encode(p.out)
		p.out = nil
	}

	p.out = append(p.out, m.raw...)

	return nil
}

func (p *plan) addParse(m message, prepared map[string]string) error {
	parsed := pgproto3.Parse{}
	if err := parsed.Decode(m.body); err != nil {
		return errors.Newf("decode Parse message: %w", err)
	}

	if _, found := prepared[parsed.Name]; (found || p.hasInjectedParse(parsed.Name)) && parsed.Name != "" {
		p.closeStatement(parsed.Name)
	}

	p.parses = append(p.parses, expectedParse{name: parsed.Name, key: statementKey(parsed.Query, parsed.ParameterOIDs)})
	p.out = append(p.out, m.raw...)

	return nil
}

// hasInjectedParse reports whether the plan contains an injected Parse for the name.
func (p *plan) hasInjectedParse(name string) bool {
	for _, s := range p.parses {
		if s.injected && s.name == name {
			return true
		}
	}

	return false
}

func cString(data []byte) string {
	if end := bytes.IndexByte(data, 0); end >= 0 {
		data = data[:end]
	}

	return string(data)
}

// statementKey returns a key that is equal only for equal queries and parameter types. It is not a hash, since a hash
// collision would make one client execute the statement of another.
func statementKey(query string, types []uint32) string {
	if len(types) == 0 {
		return query
	}

	key := append(make([]byte, 0, len(query)+1+4*len(types)), query...)
	key = append(key, 0)

	for _, t := range types {
		key = binary.BigEndian.AppendUint32(key, t)
	}

	return string(key)
}
