package limit

// departures holds the servers that have said in a response to this VM that they are
// leaving (shutting down). Neither time nor another VM's word undoes that, only a new
// start of the server. The zero value holds none.
type departures struct {
	// epochs holds the start of which each server has said so, by server ID.
	epochs map[string]uint64
	// order holds the IDs in the order in which they were recorded.
	order []string
}

// add records that a server said it is leaving, and reports whether that is new.
func (d *departures) add(s Server) bool {
	epoch, known := d.epochs[s.ID]
	if known && epoch >= s.Epoch {
		return false
	}
	if d.epochs == nil {
		d.epochs = map[string]uint64{}
	}
	if !known {
		d.order = append(d.order, s.ID)
	}
	d.epochs[s.ID] = s.Epoch
	if len(d.order) > maxServers {
		delete(d.epochs, d.order[0])
		d.order = d.order[1:]
	}
	return true
}

// has reports whether a server, or a later start of it, has said that it is leaving.
func (d *departures) has(s Server) bool {
	epoch, known := d.epochs[s.ID]
	return known && epoch >= s.Epoch
}
