package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var tag = regexp.MustCompile(`\{\{([#^]?)([a-zA-Z0-9_.]+)(\|json)?\}\}`)

// render fills a settings template as the platform's page on deployment describes it: values,
// lists joined by commas, values as JSON, and sections that depend on a value.
func render(text string, fields map[string]any) string {
	var out strings.Builder
	for {
		m := tag.FindStringSubmatchIndex(text)
		if m == nil {
			return out.String() + text
		}
		out.WriteString(text[:m[0]])
		kind, name, asJSON := text[m[2]:m[3]], text[m[4]:m[5]], m[6] >= 0
		rest := text[m[1]:]
		v := lookup(fields, name)
		if kind == "" {
			out.WriteString(value(v, asJSON))
			text = rest
			continue
		}
		end := "{{/" + name + "}}"
		i := strings.Index(rest, end)
		if present := v != nil && v != false; present == (kind == "#") {
			out.WriteString(render(rest[:i], fields))
		}
		text = rest[i+len(end):]
	}
}

func lookup(fields map[string]any, name string) any {
	var v any = fields
	for _, part := range strings.Split(name, ".") {
		switch c := v.(type) {
		case map[string]any:
			v = c[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(c) {
				return nil
			}
			v = c[i]
		default:
			return nil
		}
	}
	return v
}

func value(v any, asJSON bool) string {
	if asJSON {
		b, _ := json.Marshal(v)
		return string(b)
	}
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
