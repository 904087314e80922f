package labcatalog

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// decode parses a JSON document in which every field must be known and have the right type. Unlike encoding/json, it
// reports all problems with their paths and compares field names case-sensitively.
func decode(data []byte, document any) error {
	var value any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	problems := &ValidationError{}
	if err := d.Decode(&value); err != nil {
		problems.add("$", fmt.Sprintf("invalid JSON near byte %d: %v", d.InputOffset(), err), "one JSON object")

		return problems
	}
	problems.checkType("$", value, reflect.TypeOf(document).Elem())
	if err := problems.orNil(); err != nil {
		return err
	}
	if err := json.Unmarshal(data, document); err != nil {
		problems.add("$", err.Error(), "one JSON object")
	}

	return problems.orNil()
}

// checkType checks that a decoded value has the fields and types of a document type.
func (e *ValidationError) checkType(path string, value any, kind reflect.Type) {
	switch {
	case kind.Kind() == reflect.Struct:
		e.checkObject(path, value, kind)
	case kind == reflect.TypeFor[[]byte]():
		s, isString := value.(string)
		if _, err := base64.StdEncoding.DecodeString(s); !isString || err != nil {
			e.add(path, "not a base64 string", "base64 with padding")
		}
	case kind.Kind() == reflect.Slice:
		list, isList := value.([]any)
		if !isList {
			e.add(path, "not an array", "array")
		}
		for i, v := range list {
			e.checkType(fmt.Sprintf("%s[%d]", path, i), v, kind.Elem())
		}
	case kind.Kind() == reflect.String:
		if _, isString := value.(string); !isString {
			e.add(path, "not a string", "string")
		}
	default:
		n, isNumber := value.(json.Number)
		if _, err := strconv.ParseInt(string(n), 10, 64); !isNumber || err != nil {
			e.add(path, "not an integer", "integer")
		}
	}
}

func (e *ValidationError) checkObject(path string, value any, kind reflect.Type) {
	object, isObject := value.(map[string]any)
	if !isObject {
		e.add(path, "not an object", "object")

		return
	}
	fields := map[string]reflect.Type{}
	var names []string
	for i := range kind.NumField() {
		f := kind.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
		names = append(names, name)
	}
	keys := make([]string, 0, len(object))
	for k := range object {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		t, known := fields[k]
		if !known {
			e.add(path+"."+k, "unknown field", strings.Join(names, ", "))

			continue
		}
		e.checkType(path+"."+k, object[k], t)
	}
}
