// Package ticket lets several entry VMs share one scheduler. Each entry VM,
// which accepts requests from callers, submits them as tickets to the VM that
// schedules their model in the failure domain. The entry VM schedules them itself
// while there is no such VM. Tokens go directly from the engine to the entry VM; only
// tickets pass through the scheduling VM.
package ticket

import (
	"time"

	"fuchsiafold.example/fold/sched"
)

// SchedulerID identifies a scheduler process by its VM and the start of the
// process. The zero value means none.
type SchedulerID struct {
	VM    string
	Epoch uint64
}

// Progress reports the total number of tokens that a dispatched request has
// generated.
type Progress struct {
	ID        uint64
	Generated int
}

// Finish reports how a dispatched request ended.
type Finish struct {
	ID        uint64
	Generated int
	Result    sched.Result
}

// Takeover describes a request that another scheduler has dispatched and that
// the receiver of the batch takes over.
type Takeover struct {
	Request   *sched.Request
	Backend   string
	Generated int
}

// Batch holds the messages of an entry VM to a scheduler. They are applied in
// the order of the fields.
type Batch struct {
	// From is the ID of the entry VM and Epoch the start of its process.
	From  string
	Epoch uint64
	// Reset tells the scheduler to drop the entry VM's earlier tickets. It is set
	// after a batch was lost, which may have reported the end of some of them.
	Reset     bool
	Takeovers []Takeover
	Submits   []*sched.Request
	Cancels   []uint64
	Progress  []Progress
	Finishes  []Finish
}

// Decision is the scheduler's decision on a ticket: the backend server to send the
// request to, or a refusal.
type Decision struct {
	ID       uint64
	Backend  string
	Priority int
	// Refused is set if the request is refused; Reason and RetryAfter are then
	// set too.
	Refused    bool
	Reason     sched.Reason
	RetryAfter time.Duration
}
