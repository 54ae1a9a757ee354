package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/daisygap/daisygap"
)

// DecodeStrict decodes a single JSON document and rejects unknown fields. Its errors contain the file, the line and the
// field.
func DecodeStrict(file string, data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return locate(file, data, fieldError(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &daisygap.FieldError{File: file, Field: "document", Want: "nothing after the first JSON object"}
	}
	return nil
}

// fieldError converts an error of the JSON decoder to a FieldError.
func fieldError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &daisygap.FieldError{Field: fieldOrDocument(typeErr.Field), Want: typeName(typeErr.Type.Kind().String()), Got: typeErr.Value}
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return &lineError{offset: syntaxErr.Offset, err: &daisygap.FieldError{Field: "document", Want: "valid JSON", Got: syntaxErr.Error()}}
	}
	text := strings.TrimPrefix(err.Error(), "json: ")
	if name, ok := strings.CutPrefix(text, "unknown field "); ok {
		return &daisygap.FieldError{Field: strings.Trim(name, `"`), Want: "a known field"}
	}
	return &daisygap.FieldError{Field: "document", Want: "valid JSON", Got: text}
}

func fieldOrDocument(field string) string {
	if field == "" {
		return "document"
	}
	return field
}

func typeName(kind string) string {
	switch kind {
	case "map", "struct":
		return "an object"
	case "slice":
		return "a list"
	case "string":
		return "a string"
	case "bool":
		return "true or false"
	default:
		return "a number"
	}
}

// lineError holds the offset of a syntax error until the file is known.
type lineError struct {
	offset int64
	err    *daisygap.FieldError
}

// Error returns the message without the line.
func (e *lineError) Error() string { return e.err.Error() }

// Unwrap returns the field error.
func (e *lineError) Unwrap() error { return e.err }

// locate adds the file to a field error, and the line if it can be found.
func locate(file string, data []byte, err error) error {
	var field *daisygap.FieldError
	if !errors.As(err, &field) {
		return daisygap.WrapError("read", file, err)
	}
	located := *field
	located.File = file
	if line := lineOf(data, err, field.Field); line > 0 && file != "" {
		located.File = fmt.Sprintf("%s:%d", file, line)
	}
	return &located
}

// lineOf returns the line of a syntax error, or that of the last name in the path of a field. It returns 0 if none
// is found.
func lineOf(data []byte, err error, field string) int {
	var lineErr *lineError
	if errors.As(err, &lineErr) {
		return 1 + bytes.Count(data[:min(int(lineErr.offset), len(data))], []byte("\n"))
	}
	offset := 0
	found := false
	for _, name := range strings.Split(field, ".") {
		i := bytes.Index(data[offset:], []byte(`"`+name+`"`))
		if i < 0 {
			continue
		}
		found = true
		offset += i
	}
	if !found {
		return 0
	}
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}
