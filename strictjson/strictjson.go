// Package strictjson decodes JSON and refuses unknown fields and wrong types. Its
// errors contain the path of the field or the position in the input.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"zinniapin/result"
)

// Decode decodes data into v, which must be a pointer to a struct or slice. An
// error about unknown fields contains the path of each, such as "limits.burst".
// Every error has the given code.
func Decode(data []byte, v any, code result.Code) error {
	var raw any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&raw); err != nil {
		return syntaxError(data, err, code)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.New(code, "there is more data after the JSON value").At(position(data, d.InputOffset()))
	}
	unknown := unknownFields(raw, reflect.TypeOf(v).Elem(), "")
	if len(unknown) > 0 {
		sort.Strings(unknown)
		return result.New(code, "unknown field").At(strings.Join(unknown, ", "))
	}
	if err := json.Unmarshal(data, v); err != nil {
		return typeError(err, code)
	}
	return nil
}

// syntaxError returns an error with the line and column of a syntax error.
func syntaxError(data []byte, err error, code result.Code) error {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return result.New(code, "not valid JSON: %s", syntaxErr.Error()).At(position(data, syntaxErr.Offset))
	}
	if errors.Is(err, io.EOF) {
		return result.New(code, "the input is empty, want a JSON value")
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return result.New(code, "not valid JSON: the input ends too early").At(position(data, int64(len(data))))
	}
	return result.New(code, "not valid JSON: %s", err.Error())
}

// typeError returns an error with the path of the field that has a wrong type.
func typeError(err error, code result.Code) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return result.New(code, "want %s, got %s", typeErr.Type, typeErr.Value).At(typeErr.Field)
	}
	return result.New(code, "%s", err.Error())
}

// position returns the line and column of a byte offset as text.
func position(data []byte, offset int64) string {
	offset = min(offset, int64(len(data)))
	before := data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d column %d", line, column)
}

// unknownFields returns the paths of the fields in raw, a decoded JSON value, that
// the type t does not have.
func unknownFields(raw any, t reflect.Type, path string) []string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := raw.(type) {
	case map[string]any:
		return unknownInObject(value, t, path)
	case []any:
		return unknownInArray(value, t, path)
	default:
		return nil
	}
}

// unknownInArray returns the paths of unknown fields in the elements of an array.
func unknownInArray(values []any, t reflect.Type, path string) []string {
	if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
		return nil
	}
	var unknown []string
	for i, value := range values {
		unknown = append(unknown, unknownFields(value, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return unknown
}

// unknownInObject returns the paths of unknown fields in an object.
func unknownInObject(values map[string]any, t reflect.Type, path string) []string {
	if t.Kind() == reflect.Map {
		return unknownInMap(values, t, path)
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	var unknown []string
	for name, value := range values {
		field, ok := fields[name]
		if !ok {
			unknown = append(unknown, join(path, name))
			continue
		}
		unknown = append(unknown, unknownFields(value, field, join(path, name))...)
	}
	return unknown
}

// unknownInMap returns the paths of unknown fields in the values of an object that
// is decoded into a map.
func unknownInMap(values map[string]any, t reflect.Type, path string) []string {
	var unknown []string
	for name, value := range values {
		unknown = append(unknown, unknownFields(value, t.Elem(), join(path, name))...)
	}
	return unknown
}

// collectFields adds the types of a struct's fields, including those of embedded
// structs, to fields by JSON name.
func collectFields(t reflect.Type, fields map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" {
			collectFields(f.Type, fields)
			continue
		}
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
}

// join appends a field name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
