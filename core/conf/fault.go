package conf

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// Code classifies why a write or read of resources was rejected.
type Code string

// The codes of rejections.
const (
	CodeInvalid     Code = "invalid"
	CodeNotFound    Code = "notFound"
	CodeExists      Code = "exists"
	CodeStale       Code = "staleVersion"
	CodeReference   Code = "badReference"
	CodeInUse       Code = "inUse"
	CodeUnknownKind Code = "unknownKind"
	CodeCompacted   Code = "versionTooOld"
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that the change may or may not take effect.
	CodeUnknown Code = "outcomeUnknown"
)

// Fault describes why a field is invalid.
type Fault struct {
	Field string `json:"field"`
	Text  string `json:"text"`
}

// Rejection is the error of a rejected read or write of resources. Unless its code
// is CodeUnknown, nothing was changed.
type Rejection struct {
	Code   Code    `json:"code"`
	Text   string  `json:"text"`
	Faults []Fault `json:"faults,omitempty"`
	// WriteID is set if the code is CodeUnknown. If the write was committed, its
	// Change has this WriteID.
	WriteID string `json:"writeId,omitempty"`
}

// Error returns the code, the text and all faults.
func (r *Rejection) Error() string {
	var b strings.Builder
	b.WriteString(string(r.Code) + ": " + r.Text)
	for _, f := range r.Faults {
		b.WriteString("; " + f.Field + ": " + f.Text)
	}
	return b.String()
}

func reject(code Code, text string, faults ...Fault) *Rejection {
	return &Rejection{Code: code, Text: text, Faults: faults}
}

// faults collects the invalid fields of one resource.
type faults struct{ list []Fault }

func (f *faults) add(field, text string) { f.list = append(f.list, Fault{Field: field, Text: text}) }

func (f *faults) required(field, value string) {
	if value == "" {
		f.add(field, "is required")
	}
}

func (f *faults) notNegative(field string, v int) {
	if v < 0 {
		f.add(field, "must not be negative")
	}
}

func (f *faults) duration(field string, d Duration) {
	if d.invalid != "" {
		f.add(field, "is not a duration with a unit, such as \"1.5s\" or \"200ms\": "+d.invalid)
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func (f *faults) name(field, v string) {
	if !namePattern.MatchString(v) {
		f.add(field, "must be 1 to 63 lower-case letters, digits, dots and dashes, with a letter or digit at both ends")
	}
}

// decodeSpec decodes and validates a spec. Unknown fields are rejected.
func decodeSpec(kind Kind, raw []byte) (Spec, *Rejection) {
	spec := newSpec(kind)
	if spec == nil {
		return nil, reject(CodeUnknownKind, "there is no kind "+string(kind))
	}
	if err := decodeStrict(raw, spec); err != nil {
		return nil, reject(CodeInvalid, "the spec cannot be read", Fault{Field: fieldOfError("spec", err), Text: err.Error()})
	}
	var f faults
	spec.check(&f)
	if len(f.list) > 0 {
		return nil, reject(CodeInvalid, "the spec has faults", f.list...)
	}
	return spec, nil
}

func decodeStrict(raw []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return errors.WithStack(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("there is more after the end")
	}
	return nil
}

var unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]+)"`)

// fieldOfError returns the path, below prefix, of the field that a decoding error
// refers to; prefix itself if the error names none.
func fieldOfError(prefix string, err error) string {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) && typ.Field != "" {
		return prefix + "." + typ.Field
	}
	if m := unknownFieldPattern.FindStringSubmatch(err.Error()); m != nil {
		return prefix + "." + m[1]
	}
	return prefix
}
