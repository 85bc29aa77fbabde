package clock

import "time"

// wallOffset is zero but in the build for the soak.
var wallOffset time.Duration

// Wall returns the time of day, for what is compared with that of other VMs or of an
// earlier process.
func Wall() time.Time { return time.Now().Add(wallOffset) }
