package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldd/memory"
)

// bytesPerMB is the unit of the settings.
const bytesPerMB = 1e6

// watchMemory begins to check the memory of the process if it has a limit.
func (n *Node) watchMemory() {
	n.Memory.Limit = int64(n.Settings.Limits.MemoryMB * bytesPerMB)
	if n.Memory.Limit > 0 {
		n.Clock.Every(memory.CheckInterval, n.checkMemory)
	}
}

func (n *Node) checkMemory(now time.Time) {
	if !n.Memory.Check(now) {
		return
	}
	log := n.Log.WithFields(logrus.Fields{"limitBytes": n.Memory.Limit, "residentBytes": memory.Resident(), "streams": n.Streams()})
	if n.Memory.Rejects() {
		n.Count("memory.shortages", 1)
		log.Warn("process is near its memory limit; rejecting new requests")
		return
	}
	log.Info("process is below its memory limit again; accepting requests")
}

// KnownBytes estimates the memory in bytes of the table of backend servers and of what is known
// of the other VMs.
func (n *Node) KnownBytes() (servers, peers int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Size(), n.group.Size()
}
