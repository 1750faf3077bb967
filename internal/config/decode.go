package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/go-playground/validator/v10"
)

// FieldError is one error in a document.
type FieldError struct {
	Path   string // path of the field, for example services[0].targets.freshShare
	Reason string
}

// Error implements error.
func (e FieldError) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// InvalidError lists all errors found in a document.
type InvalidError struct {
	Fields []FieldError
}

// Error implements error, with one field error a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

var objectName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	v.RegisterCustomTypeFunc(addrPortValue, netip.AddrPort{})
	mustRegister(v, "objectname", func(fl validator.FieldLevel) bool {
		return objectName.MatchString(fl.Field().String())
	})
	mustRegister(v, "hostport", func(fl validator.FieldLevel) bool {
		a, err := netip.ParseAddrPort(fl.Field().String())
		return err == nil && a.Port() != 0
	})
	mustRegister(v, "hostport4", func(fl validator.FieldLevel) bool {
		a, err := netip.ParseAddrPort(fl.Field().String())
		return err == nil && a.Port() != 0 && a.Addr().Is4()
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

func addrPortValue(f reflect.Value) any {
	a, ok := f.Interface().(netip.AddrPort)
	if !ok || !a.IsValid() {
		return ""
	}
	return a.String()
}

// inlineName is the name of an embedded struct in validator paths. JSON has no path
// element for it, so fieldPath removes it.
const inlineName = "~"

func jsonName(f reflect.StructField) string {
	if f.Anonymous {
		return inlineName
	}
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || name == "" {
		return f.Name
	}
	return name
}

// Decode reads one JSON document into v, rejects unknown members and validates the
// result. An invalid document is reported as *InvalidError.
func Decode(data []byte, v any) error {
	if err := json.Unmarshal(data, v, json.RejectUnknownMembers(true)); err != nil {
		return &InvalidError{Fields: []FieldError{decodeError(err)}}
	}
	return Check(v)
}

// Encode writes v as JSON.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v, json.Deterministic(true))
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return b, nil
}

func decodeError(err error) FieldError {
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return FieldError{Path: pointerPath(string(syntactic.JSONPointer)), Reason: syntactic.Err.Error()}
	}
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return FieldError{Reason: err.Error()}
	}
	path := pointerPath(string(semantic.JSONPointer))
	if errors.Is(semantic.Err, json.ErrUnknownName) {
		return FieldError{Path: path, Reason: "unknown key"}
	}
	reason := fmt.Sprintf("cannot read %s as %s", semantic.JSONKind, semantic.GoType)
	if semantic.Err != nil {
		reason = semantic.Err.Error()
	}
	return FieldError{Path: path, Reason: reason}
}

// pointerPath converts a JSON pointer such as /services/0/name to
// services[0].name.
func pointerPath(pointer string) string {
	var b strings.Builder
	for _, part := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		if part != "" && strings.Trim(part, "0123456789") == "" {
			b.WriteString("[" + part + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// Check validates v against its validate tags. Invalid fields are
// reported as *InvalidError.
func Check(v any) error {
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return errors.Wrap(err, "check")
	}
	out := &InvalidError{}
	for _, f := range failures {
		out.Fields = append(out.Fields, FieldError{Path: fieldPath(f), Reason: validationReason(f)})
	}
	return out
}

func fieldPath(f validator.FieldError) string {
	_, path, found := strings.Cut(f.Namespace(), ".")
	if !found {
		return f.Field()
	}
	return strings.ReplaceAll(path, inlineName+".", "")
}

func validationReason(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_without":
		return "is required"
	case "hostport":
		return "must be an IP address and port, for example 127.0.0.1:7443"
	case "hostport4":
		return "must be an IPv4 address and port, for example 127.0.0.1:7443"
	case "objectname":
		return "must be lower-case letters, digits, dots and dashes"
	case "unique":
		return "must not repeat " + strings.ToLower(f.Param())
	}
	if f.Param() == "" {
		return "must be " + f.Tag()
	}
	return fmt.Sprintf("must satisfy %s %s", f.Tag(), f.Param())
}
