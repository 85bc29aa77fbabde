package node

// KnownBytes estimates the memory in bytes of the table of backend servers and of what is known
// of the other VMs.
func (n *Node) KnownBytes() (servers, peers int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Size(), n.group.Size()
}
