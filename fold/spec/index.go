package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Index provides the look-ups in a configuration that each request needs. NewIndex
// creates it. It must not be modified while it is in use.
type Index struct {
	doc        *Document
	revision   uint64
	classes    map[string]*Class
	models     map[string]string
	workspaces map[string]*Workspace
	services   map[string]*Service
	routes     []Route
	// forwards maps each host in lower case to its forwards, ordered from the
	// longest prefix to the shortest.
	forwards map[string][]*Forward
	// source holds the bytes from which the configuration was decoded.
	source []byte
}

// NewIndex returns an index of a valid configuration. d must not change afterwards.
func NewIndex(d *Document, revision uint64) *Index {
	x := &Index{
		doc:        d,
		revision:   revision,
		classes:    map[string]*Class{},
		models:     map[string]string{},
		workspaces: map[string]*Workspace{},
		services:   map[string]*Service{},
		routes:     slices.Clone(d.Routes),
		forwards:   map[string][]*Forward{},
	}
	for i := range d.Classes {
		x.classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for i, s := range d.Services {
		x.services[s.Name] = &d.Services[i]
		for _, m := range s.Models {
			x.models[m] = s.Name
		}
	}
	for i, w := range d.Workspaces {
		for _, hash := range w.KeyHashes() {
			x.workspaces[strings.ToLower(hash)] = &d.Workspaces[i]
		}
	}
	x.indexForwards()
	slices.SortFunc(x.routes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	return x
}

func (x *Index) indexForwards() {
	for i := range x.doc.Forwards {
		f := &x.doc.Forwards[i]
		host := strings.ToLower(f.Host)
		x.forwards[host] = append(x.forwards[host], f)
	}
	for _, list := range x.forwards {
		slices.SortFunc(list, func(a, b *Forward) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Forward returns the forward of a host with the longest prefix of the path. The
// host may include a port.
func (x *Index) Forward(host, path string) (*Forward, bool) {
	for _, f := range x.forwards[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, f.Prefix) {
			return f, true
		}
	}
	return nil, false
}

// withoutPort removes the port from a host, and the brackets from an IPv6 address.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.Trim(host, "[]")
}

// Service returns the named service.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// WorkspaceByKey returns the workspace that owns a key.
func (x *Index) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := x.workspaces[HashKey(key)]
	return w, ok
}

// WithSource stores the bytes from which the configuration was decoded, so that they
// can be sent to other VMs unchanged. It returns x.
func (x *Index) WithSource(source []byte) *Index {
	x.source = source
	return x
}

// Source returns the bytes from which the configuration was decoded, or nil if they
// are not known.
func (x *Index) Source() []byte { return x.source }

// Document returns the indexed configuration.
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

// WorkspaceName returns the name of the workspace that owns a key.
func (x *Index) WorkspaceName(key string) (string, bool) {
	w, ok := x.WorkspaceByKey(key)
	if !ok {
		return "", false
	}
	return w.Name, true
}

// HashKey returns the form of a workspace key in a configuration: its SHA-256 in
// hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Route returns the route with the longest path that is a prefix of the given path.
// Only whole segments match.
func (x *Index) Route(path string) (Route, bool) {
	for _, r := range x.routes {
		rest, ok := strings.CutPrefix(path, r.Path)
		if ok && (rest == "" || rest[0] == '/') {
			return r, true
		}
	}
	return Route{}, false
}

// ActivePolicies returns the names of the policies in force: the two of a trial, or
// else a single one.
func (x *Index) ActivePolicies() []string {
	if t := x.doc.Trial; t != nil {
		return []string{t.A, t.B}
	}
	if x.doc.Policy == "" {
		return []string{PolicyForecast}
	}
	return []string{x.doc.Policy}
}
