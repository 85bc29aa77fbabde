package member

import "unsafe"

// mapEntry estimates what an entry of a map takes in bytes beside its key and value.
const mapEntry = 24

// Size estimates the memory of the table in bytes.
func (t *Table) Size() int {
	size := 0
	for id, r := range t.records {
		size += mapEntry + len(id) + int(unsafe.Sizeof(*r)) + len(r.ID) + len(r.Kind) + len(r.Service) + len(r.Model) + len(r.Version) + len(r.Domain) + len(r.from)
		for _, a := range r.Adapters {
			size += int(unsafe.Sizeof(a)) + len(a)
		}
	}
	return size
}

// Size estimates the memory of what is known of the other VMs in bytes.
func (g *Group) Size() int {
	size := 0
	for id, r := range g.peers {
		size += mapEntry + len(id) + int(unsafe.Sizeof(*r)) + len(r.ID) + len(r.Domain) + len(r.Region)
	}
	return size
}
