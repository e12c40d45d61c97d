package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxDocumentBytes is the maximum size of a document. It is the limit of the
// configuration service on a value.
const MaxDocumentBytes = 1 << 20

// InvalidError describes an invalid document or settings file.
type InvalidError struct {
	Line    int    // 1-based; 0: unknown
	Key     string // path of the key, such as pipelines[0].stages[1].name; may be empty
	Problem string
	Allowed string // short description of valid values; may be empty
}

// Error returns the line, the key, the problem and the allowed values.
func (e *InvalidError) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(e.Problem)
	if e.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", e.Allowed)
	}
	return b.String()
}

// Parse decodes and validates a published document. The result depends only on
// raw, so that all processes accept a document or none does. An error wraps an
// *InvalidError.
func Parse(raw []byte) (*Document, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, &InvalidError{
			Problem: fmt.Sprintf("document has %d bytes", len(raw)),
			Allowed: fmt.Sprintf("at most %d", MaxDocumentBytes),
		}
	}
	d := &Document{}
	if err := DecodeStrict(raw, d); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	if e := validate(d); e != nil {
		e.Line = lineOf(raw, e.Key)
		return nil, fmt.Errorf("validate document: %w", e)
	}
	return d, nil
}

// Encode returns the document as YAML. Parse accepts the result.
func (d *Document) Encode() ([]byte, error) {
	raw, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return raw, nil
}

// Digest returns a checksum that distinguishes documents with the same revision.
func Digest(raw []byte) uint64 { return xxhash.Sum64(raw) }

// DecodeStrict decodes YAML into v. An unknown or duplicate key, a value of the
// wrong type or unit, and a violated `validate` tag are errors. Any error is an
// *InvalidError.
func DecodeStrict(raw []byte, v any) (err error) {
	// The YAML library panics on some malformed input. One bad document must not
	// crash all the processes that read it.
	defer func() {
		if r := recover(); r != nil {
			err = &InvalidError{Problem: fmt.Sprintf("the YAML can't be decoded: %v", r)}
		}
	}()
	if len(strings.TrimSpace(string(raw))) == 0 {
		return &InvalidError{Problem: "the file is empty", Allowed: "YAML with the documented keys"}
	}
	if err := yaml.UnmarshalWithOptions(raw, v, yaml.Strict()); err != nil {
		return invalidFromYAML(raw, err)
	}
	if err := newValidator().Struct(v); err != nil {
		return invalidFromTags(raw, err)
	}
	return nil
}

// newValidator returns a validator with the tag ip_port that names fields by
// their YAML keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	// Registration fails only for an empty tag or a nil function.
	_ = v.RegisterValidation("ip_port", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
}

// quotedSuffix matches the quoted value at the end of an error of the standard
// library.
var quotedSuffix = regexp.MustCompile(`"([^"]*)"$`)

// invalidFromYAML converts an error of the YAML decoder. An error of the standard
// library, such as that of time.ParseDuration, has no position; it is located by
// the value that its message quotes.
func invalidFromYAML(raw []byte, err error) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		out := &InvalidError{Problem: err.Error()}
		if m := quotedSuffix.FindStringSubmatch(err.Error()); m != nil {
			out.Line, out.Key = locateScalar(raw, m[1])
		}
		if strings.Contains(out.Problem, "duration") {
			out.Allowed = "a number with a unit: ms, s, m or h"
		}
		return out
	}
	line := 0
	key := ""
	if t := yamlErr.GetToken(); t != nil {
		line = t.Position.Line
		key = t.Value
	}
	return &InvalidError{Line: line, Key: key, Problem: yamlErr.GetMessage()}
}

// invalidFromTags converts the first violation of a `validate` tag.
func invalidFromTags(raw []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return &InvalidError{Problem: err.Error()}
	}
	f := fields[0]
	_, key, _ := strings.Cut(f.Namespace(), ".")
	out := &InvalidError{Key: key, Line: lineOf(raw, key), Allowed: describeRule(f)}
	if f.Tag() == "required" {
		out.Problem = "a value is missing"
		return out
	}
	out.Problem = fmt.Sprintf("%v is not allowed", f.Value())
	return out
}

// describeRule returns the values that a `validate` tag allows, or "" if a value
// is only required.
func describeRule(f validator.FieldError) string {
	switch f.Tag() {
	case "oneof":
		return strings.ReplaceAll(f.Param(), " ", ", ")
	case "min":
		return "at least " + f.Param()
	case "max":
		return "at most " + f.Param()
	case "gt":
		return "more than " + f.Param()
	case "ip_port":
		return "IP:PORT with an IP number"
	case "required":
		return ""
	default:
		return f.Tag()
	}
}

// lineOf returns the 1-based line of a key path, or of its closest ancestor in
// raw; 0 if there is neither.
func lineOf(raw []byte, key string) int {
	f, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return 0
	}
	for key != "" {
		if p, err := yaml.PathString("$." + key); err == nil {
			if n, err := p.FilterFile(f); err == nil && n != nil {
				return n.GetToken().Position.Line
			}
		}
		key = parentKey(key)
	}
	return 0
}

// locateScalar returns the 1-based line and the key path of the first scalar
// with the given text; 0 and "" if there is none.
func locateScalar(raw []byte, text string) (line int, key string) {
	f, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return 0, ""
	}
	for _, doc := range f.Docs {
		for _, n := range ast.Filter(ast.StringType, doc) {
			if n.GetToken().Value == text {
				return n.GetToken().Position.Line, strings.TrimPrefix(n.GetPath(), "$.")
			}
		}
	}
	return 0, ""
}

// parentKey removes the last element of a key path.
func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}
