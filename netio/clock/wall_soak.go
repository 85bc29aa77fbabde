//go:build soak

package clock

import (
	"os"
	"time"
)

// offsetVariable names the environment variable that holds by how much the time of day is
// wrong.
const offsetVariable = "FOLD_SOAK_CLOCK"

func init() {
	if d, err := time.ParseDuration(os.Getenv(offsetVariable)); err == nil {
		wallOffset = d
	}
}
