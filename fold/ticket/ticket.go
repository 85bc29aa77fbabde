// Package ticket lets several entry VMs share one scheduler: each hands its
// requests as tickets to the VM that schedules a model in the failure domain
// (the steward), and schedules by itself while there is none. Tokens go
// straight from the engine to the entry VM; only tickets cross.
package ticket

import (
	"time"

	"fuchsiafold.example/fold/sched"
)

// SchedulerID names a process that schedules: a VM and the start of its process.
// The zero value means none.
type SchedulerID struct {
	VM    string
	Epoch uint64
}

// Progress says how far a dispatched request has come.
type Progress struct {
	ID        uint64
	Generated int
}

// Finish says how a dispatched request ended.
type Finish struct {
	ID        uint64
	Generated int
	Result    sched.Result
}

// Takeover tells of a request that another scheduler has dispatched.
type Takeover struct {
	Request   *sched.Request
	Backend   string
	Generated int
}

// Batch is what an entry VM tells a steward, in the order of the fields.
type Batch struct {
	// From and Epoch name the entry VM and the start of its process.
	From  string
	Epoch uint64
	// Reset says that the entry VM's earlier tickets no longer count: a batch
	// was lost, and with it perhaps their end.
	Reset     bool
	Takeovers []Takeover
	Submits   []*sched.Request
	Cancels   []uint64
	Progress  []Progress
	Finishes  []Finish
}

// Decision is a steward's answer to a ticket.
type Decision struct {
	ID       uint64
	Backend  string
	Priority int
	// Refused is set when the request is refused, for Reason.
	Refused    bool
	Reason     sched.Reason
	RetryAfter time.Duration
}
