// Package strictjson decodes JSON and refuses unknown fields and wrong types,
// naming the path of every mistake.
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

// Decode decodes data into v, which must be a pointer to a struct or slice.
// Every unknown field is named by its path, such as "limits.burst". The error
// has the given code.
func Decode(data []byte, v any, code result.Code) error {
	var raw any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&raw); err != nil {
		return syntaxError(data, err, code)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.New(code, "more data after the JSON value").At(position(data, d.InputOffset()))
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

// syntaxError names the line and column of a syntax error.
func syntaxError(data []byte, err error, code result.Code) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return result.New(code, "not valid JSON: %s", syntax.Error()).At(position(data, syntax.Offset))
	}
	if errors.Is(err, io.EOF) {
		return result.New(code, "no JSON value, the input is empty")
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return result.New(code, "not valid JSON: the input ends too early").At(position(data, int64(len(data))))
	}
	return result.New(code, "not valid JSON: %s", err.Error())
}

// typeError names the field whose type is wrong.
func typeError(err error, code result.Code) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return result.New(code, "want %s, got %s", wrong.Type, wrong.Value).At(wrong.Field)
	}
	return result.New(code, "%s", err.Error())
}

// position names the line and column of a byte offset.
func position(data []byte, offset int64) string {
	offset = min(offset, int64(len(data)))
	before := data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d column %d", line, column)
}

// unknownFields returns the paths of fields in raw that t does not have.
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

// unknownInArray checks the elements of an array.
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

// unknownInObject checks the fields of an object.
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

// unknownInMap checks the values of an object that is decoded into a map.
func unknownInMap(values map[string]any, t reflect.Type, path string) []string {
	var unknown []string
	for name, value := range values {
		unknown = append(unknown, unknownFields(value, t.Elem(), join(path, name))...)
	}
	return unknown
}

// collectFields gathers the JSON fields of a struct and of those embedded in
// it.
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
