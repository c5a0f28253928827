package node

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/rillreach/rillreach"
)

// SystemClock returns a clock that tells the wall time at its making plus the time since then that the kernel counts
// while the machine is suspended too; a step of the wall clock does not move it.
func SystemClock() rillreach.Clock {
	start, boot := time.Now().Round(0), sinceBoot()
	return rillreach.ClockFunc(func() time.Time { return start.Add(sinceBoot() - boot) })
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
