package state

import (
	"encoding/json"
	"fmt"
	"time"

	"fuchsiafold.example/fold/evac"
)

// image is the encoded form of a Machine.
type image struct {
	Now              time.Duration     `json:"now"`
	Revision         uint64            `json:"revision"`
	Document         []byte            `json:"document,omitempty"`
	Changes          map[string]change `json:"changes,omitempty"`
	Order            []string          `json:"order,omitempty"`
	Claims           []*claimRecord    `json:"claims,omitempty"`
	Leases           map[string]*lease `json:"leases,omitempty"`
	LastFencingToken uint64            `json:"fences"`
	Evacuations      evac.Set          `json:"evacuations,omitzero"`
}

// Snapshot returns the encoded state of the machine.
func (m *Machine) Snapshot() ([]byte, error) {
	img := image{
		Now:              m.now,
		Revision:         m.config.revision,
		Document:         m.config.document,
		Changes:          m.config.changes,
		Order:            m.config.order,
		Leases:           m.leases,
		LastFencingToken: m.lastFencingToken,
		Evacuations:      m.evacuations,
	}
	for e := m.claims.byUse.Front(); e != nil; e = e.Next() {
		img.Claims = append(img.Claims, e.Value.(*claimRecord))
	}
	b, err := json.Marshal(img)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return b, nil
}

// Restore replaces the state with one that Snapshot encoded. Empty data means an
// empty state. After an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var img image
	if len(data) > 0 {
		if err := json.Unmarshal(data, &img); err != nil {
			return fmt.Errorf("decode state: %w", err)
		}
	}
	*m = Machine{
		now:              img.Now,
		leases:           img.Leases,
		lastFencingToken: img.LastFencingToken,
		evacuations:      img.Evacuations,
		config:           config{revision: img.Revision, document: img.Document, changes: img.Changes, order: img.Order},
	}
	for _, r := range img.Claims {
		m.claims.insert(r)
	}
	return nil
}
