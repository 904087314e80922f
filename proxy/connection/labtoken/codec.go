package labtoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	version       = 1
	macSize       = 16      // bytes of the truncated HMAC-SHA256
	textSizeLimit = 4 << 10 // maximum bytes of an encoded token; enough for about 100 databases
)

// Errors returned by Codec.Decode.
var (
	ErrMalformed = errors.New("session token is malformed")
	ErrVersion   = errors.New("session token has an unsupported version")
	ErrSignature = errors.New("session token is not signed by this deployment")
)

// Codec encodes and signs tokens, and verifies and decodes them.
type Codec struct {
	// Keys are the keys of the deployment. Tokens are signed with the first key and accepted with any of them.
	Keys [][]byte
}

// Encode returns the signed, base64-encoded text of a token.
func (c *Codec) Encode(t Token) string {
	out := appendString([]byte{version}, t.sessionID)
	for _, m := range t.minPositions {
		out = appendString(out, m.database)
		out = binary.AppendUvarint(out, uint64(m.position.Term))
		out = binary.AppendUvarint(out, m.position.Offset)
	}

	out = append(out, sign(c.Keys[0], out)...)

	return base64.RawURLEncoding.EncodeToString(out)
}

// Decode verifies an encoded token and returns its content.
func (c *Codec) Decode(text string) (Token, error) {
	if len(text) > textSizeLimit {
		return Token{}, errors.Newf("%w: %d bytes exceed the limit of %d", ErrMalformed, len(text), textSizeLimit)
	}

	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, errors.Newf("%w: %s", ErrMalformed, err.Error())
	}

	if len(raw) < 1+macSize {
		return Token{}, errors.Newf("%w: %d bytes are too few for a token", ErrMalformed, len(raw))
	}

	if raw[0] != version {
		return Token{}, errors.Newf("%w %d", ErrVersion, raw[0])
	}

	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	if !slices.ContainsFunc(c.Keys, func(k []byte) bool { return hmac.Equal(sign(k, body), mac) }) {
		return Token{}, ErrSignature
	}

	return parse(body[1:])
}

func parse(body []byte) (Token, error) {
	r := reader{remaining: body}
	t := Token{sessionID: r.readString()}

	for len(r.remaining) > 0 && !r.malformed {
		name, term, offset := r.readString(), r.readUvarint(), r.readUvarint()
		if term > math.MaxUint32 {
			r.malformed = true
		}

		t = t.withMinPosition(name, lab.WALPosition{Term: lab.PrimaryTerm(term), Offset: offset})
	}

	if r.malformed {
		return Token{}, errors.Newf("%w: truncated or invalid field", ErrMalformed)
	}

	return t, nil
}

func sign(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	_, _ = m.Write([]byte("laburnumlock.token\x00"))
	_, _ = m.Write(body)

	return m.Sum(nil)[:macSize]
}

func appendString(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}
