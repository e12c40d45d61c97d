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

// MaxDocumentBytes is the largest value that the configuration service holds.
const MaxDocumentBytes = 1 << 20

// InvalidError says what is wrong with a document or a settings file.
type InvalidError struct {
	Line    int    // 1-based; 0 if it is not known
	Key     string // path of the key, such as pipelines[0].stages[1].name
	Problem string
	Allowed string // what would be accepted, if that can be said briefly
}

// Error returns the line, key, problem and what is allowed.
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

// Parse decodes and validates a published document. It depends on nothing but
// the bytes, so all processes accept a document or none does.
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
	if p := firstProblem(d); p != nil {
		p.Line = lineOf(raw, p.Key)
		return nil, fmt.Errorf("validate document: %w", p)
	}
	return d, nil
}

// Encode returns the document as YAML that Parse accepts.
func (d *Document) Encode() ([]byte, error) {
	raw, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return raw, nil
}

// Digest returns the checksum by which two documents of one revision are told
// apart.
func Digest(raw []byte) uint64 { return xxhash.Sum64(raw) }

// DecodeStrict decodes YAML into v: an unknown or doubled key, a value of the
// wrong type or unit, and a failed `validate` tag are errors that name the line.
func DecodeStrict(raw []byte, v any) (err error) {
	// Some malformed input makes the YAML library panic. One bad document must
	// not end all the processes that read it.
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

// quoted is the value that an error of the standard library complains about.
var quoted = regexp.MustCompile(`"([^"]*)"$`)

func invalidFromYAML(raw []byte, err error) error {
	var y yaml.Error
	if !errors.As(err, &y) {
		p := &InvalidError{Problem: err.Error()}
		if m := quoted.FindStringSubmatch(err.Error()); m != nil {
			p.Line, p.Key = whereIs(raw, m[1])
		}
		if strings.Contains(p.Problem, "duration") {
			p.Allowed = "a number with a unit: ms, s, m or h"
		}
		return p
	}
	line := 0
	key := ""
	if t := y.GetToken(); t != nil {
		line = t.Position.Line
		key = t.Value
	}
	return &InvalidError{Line: line, Key: key, Problem: y.GetMessage()}
}

func invalidFromTags(raw []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return &InvalidError{Problem: err.Error()}
	}
	f := fields[0]
	_, key, _ := strings.Cut(f.Namespace(), ".")
	p := &InvalidError{Key: key, Line: lineOf(raw, key), Allowed: allowed(f)}
	if f.Tag() == "required" {
		p.Problem = "a value is missing"
		return p
	}
	p.Problem = fmt.Sprintf("%v is not allowed", f.Value())
	return p
}

func allowed(f validator.FieldError) string {
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

// lineOf finds the line of a key path, or of its nearest parent that stands in
// the text.
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

// whereIs finds the line and the path of the first scalar with that text.
func whereIs(raw []byte, text string) (line int, key string) {
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

func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}
