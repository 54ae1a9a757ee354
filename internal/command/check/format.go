package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
	"github.com/daisygap/daisygap/internal/policy/lastgood"
	"github.com/daisygap/daisygap/internal/policy/validation"
	"github.com/daisygap/daisygap/platform"
)

// isSettings reports whether a file holds settings. JSON that can't be parsed is classified by the text "operator", a
// field that only settings have, so that the syntax error is reported for the right type.
func isSettings(data []byte) bool {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return bytes.Contains(data, []byte(`"operator"`))
	}
	_, ok := fields["host"]
	return ok
}

// unwrap returns the configuration in the output of config show or in the store's response, and any other data as it is.
func unwrap(data []byte) []byte {
	if value, ok := platform.StoredConfiguration(data); ok {
		return value
	}
	if bytes.HasPrefix(data, []byte("version ")) {
		_, document, _ := bytes.Cut(data, []byte("\n"))
		return document
	}
	if !bytes.Contains(data, []byte(`"document"`)) {
		// Decoding a file of 100,000 customers once more takes a twentieth of a second.
		return data
	}
	var shown struct {
		Document json.RawMessage `json:"document"`
	}
	if err := json.Unmarshal(data, &shown); err == nil && len(shown.Document) > 0 {
		return shown.Document
	}
	return data
}

// checkSteering checks the document of the platform's store.
func (in *input) checkSteering(name string, data []byte) fileResult {
	r := fileResult{File: name, Type: "configuration"}
	next, err := platform.Inspect(data)
	if err != nil {
		r.failures = append(r.failures, inFile(name, err))
		return r
	}
	keys := next.Keys
	var previous *daisygap.SteeringConfig
	if in.against != "" {
		p, err := in.inspectAgainst(name)
		if err != nil {
			r.failures = append(r.failures, err)
		} else {
			keys = append(keys, p.Keys...)
			previous = p.Config
		}
	}
	redactor := validation.NewRedactor(keys)
	config := redactor.Config(lastgood.Merge(next.Config, previous))
	for _, f := range next.Ignored {
		r.add(redactor.Finding(f))
	}
	for _, f := range validation.CheckSteering(config, in.facts) {
		f.Text = redactor.Text(f.Text)
		f.Field = platform.ColumnName(f.Table, f.Field)
		f.Table = platform.TableName(f.Table)
		r.add(f)
	}
	if previous == nil {
		return r
	}
	r.Changes = validation.CompareSteering(redactor.Config(previous), config)
	for i := range r.Changes {
		c := &r.Changes[i]
		c.Old, c.New = redactor.Text(c.Old), redactor.Text(c.New)
		c.Field = platform.ColumnName(c.Table, c.Field)
		c.Table = platform.TableName(c.Table)
	}
	for _, f := range validation.CheckVersion(previous.Version, config.Version, len(r.Changes) > 0) {
		r.add(f)
	}
	return r
}

func (in *input) inspectAgainst(name string) (*platform.Inspection, error) {
	if !platform.IsConfiguration(in.againstData) {
		return nil, in.otherFormat(name)
	}
	p, err := platform.Inspect(in.againstData)
	return p, inFile(in.against, err)
}

func (in *input) otherFormat(name string) error {
	return &daisygap.FieldError{File: in.against, Field: "document", Want: "a configuration in the format of " + name}
}

// checkEntry checks a document of the product's own format.
func (in *input) checkEntry(name string, data []byte) fileResult {
	r := fileResult{File: name, Type: "configuration"}
	redactor := validation.NewRedactor(append(signingKeys(data), signingKeys(in.againstData)...))
	for _, err := range configuration.Violations(name, data) {
		r.failures = append(r.failures, redactError(redactor, err))
	}
	if len(r.failures) > 0 {
		return r
	}
	s, err := configuration.Parse(name, data, 1)
	if err != nil {
		r.failures = append(r.failures, redactError(redactor, err))
		return r
	}
	for _, f := range validation.CheckEntry(s.Config) {
		r.add(redactor.Finding(f))
	}
	if in.against == "" {
		return r
	}
	if err := in.compareEntry(&r, redactor, data); err != nil {
		r.failures = append(r.failures, redactError(redactor, err))
	}
	return r
}

func (in *input) compareEntry(r *fileResult, redactor *validation.Redactor, data []byte) error {
	if isSettings(in.againstData) || platform.IsConfiguration(in.againstData) {
		return in.otherFormat(r.File)
	}
	changes, err := validation.CompareEntry(in.againstData, data)
	if err != nil {
		// The error of the decoder may contain values.
		return &daisygap.FieldError{File: in.against, Field: "document", Want: "a JSON object with a configuration"}
	}
	for i := range changes {
		c := &changes[i]
		for _, text := range []*string{&c.Table, &c.Name, &c.Field, &c.Old, &c.New} {
			*text = redactor.Text(*text)
		}
	}
	r.Changes = changes
	return nil
}

// signingKeys returns the values in the section "keys" of a document, also those of a wrong type, as they are, as messages quote them,
// and as JSON.
func signingKeys(data []byte) []daisygap.CustomerKey {
	var document struct {
		Keys map[string]json.RawMessage `json:"keys"`
	}
	// A document that can't be decoded is reported without its values.
	_ = json.Unmarshal(data, &document)
	var keys []daisygap.CustomerKey
	for _, value := range document.Keys {
		text := string(value)
		_ = json.Unmarshal(value, &text)
		quoted := strconv.Quote(text)
		// A string can be encoded.
		encoded, _ := json.Marshal(text)
		keys = append(keys, daisygap.CustomerKey(text), daisygap.CustomerKey(quoted[1:len(quoted)-1]), daisygap.CustomerKey(encoded[1:len(encoded)-1]))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// redactError removes keys from a field error. The values of the signing keys and of their references are never shown.
func redactError(redactor *validation.Redactor, err error) error {
	var field *daisygap.FieldError
	if !errors.As(err, &field) {
		return err
	}
	own := *field
	if own.Field == "sign" || strings.HasPrefix(own.Field, "keys") {
		own.Got = ""
	}
	own.Field, own.Want, own.Got = redactor.Text(own.Field), redactor.Text(own.Want), redactor.Text(own.Got)
	return &own
}
