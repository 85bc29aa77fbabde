package repl

// Applied returns the index of the last entry that the replica has applied.
func (p *Replica) Applied() uint64 { return p.applied }
