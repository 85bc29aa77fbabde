// Package strict decodes JSON with comments. It rejects fields that the target type
// does not have and values that do not fit their fields, and reports the path of
// each of them.
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

// FieldError reports an invalid field of a document.
type FieldError struct {
	Path   string
	Reason string
}

func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// Errors collects field errors. The zero value is empty and ready to use.
type Errors struct{ list []error }

// Add records a FieldError for the field at path. The reason is formatted as by
// fmt.Sprintf.
func (e *Errors) Add(path, format string, args ...any) {
	e.list = append(e.list, &FieldError{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Err returns all recorded errors joined into one, or nil if there are none.
func (e *Errors) Err() error { return errors.Join(e.list...) }

// Duration is a time.Duration that is encoded as text, such as "630ms".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("want a duration such as \"500ms\": %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the format of time.Duration.String.
func (d Duration) String() string { return time.Duration(d).String() }

// Decode decodes data, which is JSON with comments and trailing commas, into the
// struct that v points to. It returns all invalid fields at once, and v is then
// unchanged.
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

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func checkValue(path string, v any, t reflect.Type, errs *Errors) {
	if t.Kind() == reflect.Pointer {
		checkValue(path, v, t.Elem(), errs)
		return
	}
	if v == nil {
		errs.Add(displayPath(path), "null is not allowed: leave the field out")
		return
	}
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
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
		errs.Add(displayPath(path), "want a string")
		return
	}
	err := reflect.New(t).Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s))
	if err != nil {
		errs.Add(displayPath(path), "%v", err)
	}
}

func checkSlice(path string, v any, t reflect.Type, errs *Errors) {
	list, ok := v.([]any)
	if !ok {
		errs.Add(displayPath(path), "want a list")
		return
	}
	for i, item := range list {
		checkValue(fmt.Sprintf("%s[%d]", path, i), item, t.Elem(), errs)
	}
}

func checkStruct(path string, v any, t reflect.Type, errs *Errors) {
	obj, ok := v.(map[string]any)
	if !ok {
		errs.Add(displayPath(path), "want an object")
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
			errs.Add(joinPath(path, key), "unknown field: known here are %s", strings.Join(sortedKeys(known), ", "))
			continue
		}
		checkValue(joinPath(path, key), obj[key], ft, errs)
	}
}

func checkScalar(path string, v any, t reflect.Type, errs *Errors) {
	b, err := json.Marshal(v)
	if err != nil {
		errs.Add(displayPath(path), "%v", err)
		return
	}
	if json.Unmarshal(b, reflect.New(t).Interface()) != nil {
		errs.Add(displayPath(path), "want a value of kind %s, got %s", t.Kind(), b)
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func displayPath(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
