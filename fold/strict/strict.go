// Package strict decodes JSON with comments and refuses what the target type
// does not know, naming the path of each offending field.
package strict

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// FieldError tells which field of a document is wrong and what is allowed.
type FieldError struct {
	Path   string
	Reason string
}

func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// Errors collects field errors. The zero value is empty.
type Errors struct{ list []error }

// Add records that the field at path is wrong.
func (e *Errors) Add(path, format string, args ...any) {
	e.list = append(e.list, &FieldError{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Err returns all recorded errors as one, or nil.
func (e *Errors) Err() error { return errors.Join(e.list...) }

// Duration is a time.Duration written as text, such as "630ms".
type Duration time.Duration

// UnmarshalText parses the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("want a duration such as \"500ms\": %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the form that time.Duration prints.
func (d Duration) String() string { return time.Duration(d).String() }

// Decode parses data, JSON with comments and trailing commas, into the
// struct that v points to.
func Decode(data []byte, v any) error {
	std, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return fmt.Errorf("parse JSON with comments: %w", err)
	}
	var tree any
	if err := json.Unmarshal(std, &tree); err != nil {
		return fmt.Errorf("parse JSON: %w", err)
	}
	var errs Errors
	checkValue("", tree, reflect.TypeOf(v).Elem(), &errs)
	if err := errs.Err(); err != nil {
		return err
	}
	if err := json.Unmarshal(std, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func checkValue(path string, v any, t reflect.Type, errs *Errors) {
	if t.Kind() == reflect.Pointer {
		checkValue(path, v, t.Elem(), errs)
		return
	}
	if v == nil {
		errs.Add(name(path), "null is not allowed: leave the field out")
		return
	}
	if reflect.PointerTo(t).Implements(textType) {
		checkText(path, v, t, errs)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		checkStruct(path, v, t, errs)
	case reflect.Slice:
		checkSlice(path, v, t, errs)
	default:
		checkScalar(path, v, t, errs)
	}
}

func checkText(path string, v any, t reflect.Type, errs *Errors) {
	s, ok := v.(string)
	if !ok {
		errs.Add(name(path), "want a string")
		return
	}
	err := reflect.New(t).Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s))
	if err != nil {
		errs.Add(name(path), "%v", err)
	}
}

func checkSlice(path string, v any, t reflect.Type, errs *Errors) {
	list, ok := v.([]any)
	if !ok {
		errs.Add(name(path), "want a list")
		return
	}
	for i, item := range list {
		checkValue(fmt.Sprintf("%s[%d]", path, i), item, t.Elem(), errs)
	}
}

func checkStruct(path string, v any, t reflect.Type, errs *Errors) {
	obj, ok := v.(map[string]any)
	if !ok {
		errs.Add(name(path), "want an object")
		return
	}
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag != "" && tag != "-" {
			known[tag] = f.Type
		}
	}
	for _, key := range sortedKeys(obj) {
		ft, ok := known[key]
		if !ok {
			errs.Add(join(path, key), "unknown field: known here are %s", strings.Join(sortedKeys(known), ", "))
			continue
		}
		checkValue(join(path, key), obj[key], ft, errs)
	}
}

func checkScalar(path string, v any, t reflect.Type, errs *Errors) {
	b, err := json.Marshal(v)
	if err != nil {
		errs.Add(name(path), "%v", err)
		return
	}
	if json.Unmarshal(b, reflect.New(t).Interface()) != nil {
		errs.Add(name(path), "want a value of kind %s, got %s", t.Kind(), b)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func name(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
