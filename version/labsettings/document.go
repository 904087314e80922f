package labsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// document is a JSON text with the byte offset of each of its values.
type document struct {
	name    string
	text    []byte
	offsets map[string]int64 // offset of each value by its path, such as /peers/0/address
}

// parse decodes the text into target. Unknown fields, duplicate fields and trailing text are errors.
func parse(name string, text []byte, target any) (*document, error) {
	d := &document{name: name, text: text, offsets: map[string]int64{}}
	if err := d.indexOffsets(); err != nil {
		return nil, err
	}

	j := json.NewDecoder(bytes.NewReader(text))
	j.DisallowUnknownFields()

	if err := j.Decode(target); err != nil {
		return nil, d.decodeError(err)
	}

	return d, nil
}

// indexOffsets records the offset of each value, so that the checks after decoding can report the position of an error.
func (d *document) indexOffsets() error {
	j := json.NewDecoder(bytes.NewReader(d.text))
	if err := d.walk(j, ""); err != nil {
		return err
	}

	if _, err := j.Token(); !errors.Is(err, io.EOF) {
		return d.errorAt(j.InputOffset(), "unexpected text after the settings")
	}

	return nil
}

func (d *document) walk(j *json.Decoder, path string) error {
	if _, duplicate := d.offsets[path]; duplicate {
		return d.errorAt(j.InputOffset(), "%s is given twice", path)
	}

	d.offsets[path] = d.skipSeparators(j.InputOffset())

	t, err := j.Token()
	if err != nil {
		return d.decodeError(err)
	}

	switch t {
	case json.Delim('{'):
		return d.walkObject(j, path)
	case json.Delim('['):
		return d.walkArray(j, path)
	default:
		return nil
	}
}

func (d *document) walkObject(j *json.Decoder, path string) error {
	for j.More() {
		key, err := j.Token()
		if err != nil {
			return d.decodeError(err)
		}

		if err := d.walk(j, fmt.Sprintf("%s/%v", path, key)); err != nil {
			return err
		}
	}

	return d.readClosingDelimiter(j)
}

func (d *document) walkArray(j *json.Decoder, path string) error {
	for n := 0; j.More(); n++ {
		if err := d.walk(j, fmt.Sprintf("%s/%d", path, n)); err != nil {
			return err
		}
	}

	return d.readClosingDelimiter(j)
}

func (d *document) readClosingDelimiter(j *json.Decoder) error {
	if _, err := j.Token(); err != nil {
		return d.decodeError(err)
	}

	return nil
}

// skipSeparators returns the offset of the value that follows the separators at the given offset.
func (d *document) skipSeparators(offset int64) int64 {
	for offset < int64(len(d.text)) && strings.ContainsRune(" \t\r\n:,", rune(d.text[offset])) {
		offset++
	}

	return offset
}

func (d *document) decodeError(err error) error {
	var (
		syntax *json.SyntaxError
		kind   *json.UnmarshalTypeError
	)

	switch {
	case errors.As(err, &syntax):
		return d.errorAt(syntax.Offset-1, "%v", syntax)
	case errors.As(err, &kind):
		field := strings.TrimPrefix(kind.Field, "Common.") // the name of the embedded struct is not part of the JSON path

		return d.errorAt(kind.Offset-1, "%s must be a %s, not a %s", field, kind.Type, kind.Value)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return d.errorAt(int64(len(d.text)), "unexpected end of the settings")
	}

	if _, field, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return d.errorAt(d.findField(strings.Trim(field, `"`)), "unknown field %s", field)
	}

	return d.errorAt(0, "%v", err)
}

// findField returns the offset of the first value whose path ends with the field name.
func (d *document) findField(field string) int64 {
	var paths []string

	for p := range d.offsets {
		if strings.HasSuffix(p, "/"+field) {
			paths = append(paths, p)
		}
	}

	if len(paths) == 0 {
		return 0
	}

	sort.Slice(paths, func(a, b int) bool { return d.offsets[paths[a]] < d.offsets[paths[b]] })

	return d.offsets[paths[0]]
}

// errorAtPath returns an error with the position of the value at path. For a missing value it reports the position of
// the innermost enclosing value.
func (d *document) errorAtPath(path, format string, a ...any) error {
	p := path

	for {
		if o, ok := d.offsets[p]; ok {
			return d.errorAt(o, "%s: %s", strings.TrimPrefix(strings.ReplaceAll(path, "/", "."), "."), fmt.Sprintf(format, a...))
		}

		p = p[:strings.LastIndexByte(p, '/')]
	}
}

func (d *document) errorAt(offset int64, format string, a ...any) error {
	offset = max(0, min(offset, int64(len(d.text))))
	before := d.text[:offset]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := int(offset) - bytes.LastIndexByte(before, '\n')

	return errors.Newf("%s:%d:%d: %s", d.name, line, column, fmt.Sprintf(format, a...))
}
