package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Index answers the questions that each request asks of a configuration.
// Make it with NewIndex; it is read-only afterwards.
type Index struct {
	doc        *Document
	revision   uint64
	classes    map[string]*Class
	models     map[string]string
	workspaces map[string]string
	routes     []Route
}

// NewIndex prepares a checked configuration for look-ups.
func NewIndex(d *Document, revision uint64) *Index {
	x := &Index{
		doc:        d,
		revision:   revision,
		classes:    map[string]*Class{},
		models:     map[string]string{},
		workspaces: map[string]string{},
		routes:     slices.Clone(d.Routes),
	}
	for i := range d.Classes {
		x.classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for _, s := range d.Services {
		for _, m := range s.Models {
			x.models[m] = s.Name
		}
	}
	for _, w := range d.Workspaces {
		x.workspaces[strings.ToLower(w.KeySHA256)] = w.Name
	}
	slices.SortFunc(x.routes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	return x
}

// Document returns the configuration behind the index.
func (x *Index) Document() *Document { return x.doc }

// Revision returns the configuration's revision.
func (x *Index) Revision() uint64 { return x.revision }

// Class returns the named class.
func (x *Index) Class(name string) (Class, bool) {
	c, ok := x.classes[name]
	if !ok {
		return Class{}, false
	}
	return *c, true
}

// ModelService returns the service that serves a model.
func (x *Index) ModelService(model string) (string, bool) {
	s, ok := x.models[model]
	return s, ok
}

// Workspace returns the name of the workspace that owns a key.
func (x *Index) Workspace(key string) (string, bool) {
	name, ok := x.workspaces[HashKey(key)]
	return name, ok
}

// HashKey returns the form in which a configuration holds a workspace key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Route returns the longest route whose path is a prefix of the given one on
// whole segments.
func (x *Index) Route(path string) (Route, bool) {
	for _, r := range x.routes {
		rest, ok := strings.CutPrefix(path, r.Path)
		if ok && (rest == "" || rest[0] == '/') {
			return r, true
		}
	}
	return Route{}, false
}

// Arms returns the policies in force: one, or the two of a trial.
func (x *Index) Arms() []string {
	if t := x.doc.Trial; t != nil {
		return []string{t.A, t.B}
	}
	if x.doc.Policy == "" {
		return []string{PolicyForecast}
	}
	return []string{x.doc.Policy}
}
