package labupstream

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

// ErrMalformed is returned for a unit that is not exactly one Query or one extended sequence up to Sync.
var ErrMalformed = errors.New("malformed unit")

// plan is what is sent for a unit, and which of its acknowledgements the caller must not see.
type plan struct {
	preparation []byte // prepares statements ahead of a simple query, empty for most units
	out         []byte
	parses      []expectedParse // one for each Parse, in order
	closes      []expectedClose
}

type expectedParse struct {
	name     string
	key      string // statementKey
	injected bool
}

type expectedClose struct {
	name        string
	isStatement bool
	injected    bool
}

// message is one frontend message within a unit.
type message struct {
	messageType byte
	body        []byte
	raw         []byte
}

// splitMessage splits the first message off data.
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

// newPlan works out what to send for a unit on a connection that has the prepared statements known.
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

// prepare adds the messages that bring a statement of the caller onto the connection.
func (p *plan) prepare(s lab.PreparedStatement, prepared map[string]string) {
	currentKey, found := prepared[s.Name]
	key := statementKey(s.Query, s.ParameterTypes)

	if found && currentKey == key {
		return
	}

	if found {
		p.closeStatement(s.Name)
	}

	// Encoding these two messages fails only above 1 GB, which the unit's size bound excludes.
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

// addQuery moves the preparation of statements into a sequence of its own: an error in it must stop the query, but a
// simple query does not depend on the messages before it.
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
		return errors.Newf("decode parse: %w", err)
	}

	if _, found := prepared[parsed.Name]; (found || p.hasInjectedParse(parsed.Name)) && parsed.Name != "" {
		p.closeStatement(parsed.Name)
	}

	p.parses = append(p.parses, expectedParse{name: parsed.Name, key: statementKey(parsed.Query, parsed.ParameterOIDs)})
	p.out = append(p.out, m.raw...)

	return nil
}

// hasInjectedParse reports whether this unit prepares the name on the caller's behalf.
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

// statementKey identifies a statement exactly; a hash could let one caller's statement pass for another's.
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
