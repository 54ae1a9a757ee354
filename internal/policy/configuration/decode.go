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

// DecodeStrict reads one JSON document, refuses unknown fields and names file, line and field in its errors.
func DecodeStrict(file string, data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return inFile(file, data, fieldError(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &daisygap.FieldError{File: file, Field: "document", Want: "nothing after the first JSON object"}
	}
	return nil
}

// fieldError turns an error of the JSON decoder into one that names the field.
func fieldError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &daisygap.FieldError{Field: orDocument(wrongType.Field), Want: typeName(wrongType.Type.Kind().String()), Got: wrongType.Value}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &lineError{offset: syntax.Offset, err: &daisygap.FieldError{Field: "document", Want: "valid JSON", Got: syntax.Error()}}
	}
	text := strings.TrimPrefix(err.Error(), "json: ")
	if name, ok := strings.CutPrefix(text, "unknown field "); ok {
		return &daisygap.FieldError{Field: strings.Trim(name, `"`), Want: "a known field"}
	}
	return &daisygap.FieldError{Field: "document", Want: "valid JSON", Got: text}
}

func orDocument(field string) string {
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

// lineError remembers where in the input a syntax error lies until the file is known.
type lineError struct {
	offset int64
	err    *daisygap.FieldError
}

// Error returns the message without the line.
func (e *lineError) Error() string { return e.err.Error() }

// Unwrap returns the field error.
func (e *lineError) Unwrap() error { return e.err }

// inFile adds the file, and where it can be found the line, to a field error.
func inFile(file string, data []byte, err error) error {
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

// lineOf finds the line of a syntax error, or of the last name in a field's path.
func lineOf(data []byte, err error, field string) int {
	var syntax *lineError
	if errors.As(err, &syntax) {
		return 1 + bytes.Count(data[:min(int(syntax.offset), len(data))], []byte("\n"))
	}
	at := 0
	seen := false
	for _, name := range strings.Split(field, ".") {
		i := bytes.Index(data[at:], []byte(`"`+name+`"`))
		if i < 0 {
			continue
		}
		seen = true
		at += i
	}
	if !seen {
		return 0
	}
	return 1 + bytes.Count(data[:at], []byte("\n"))
}
