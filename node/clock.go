package node

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/rillreach/rillreach"
)

// SystemClock returns a clock that starts at the current wall time and advances with the kernel's CLOCK_BOOTTIME, which
// includes the time that the machine is suspended. Later changes of the wall clock do not affect it.
func SystemClock() rillreach.Clock {
	startTime, startSinceBoot := time.Now().Round(0), timeSinceBoot()
	return rillreach.ClockFunc(func() time.Time { return startTime.Add(timeSinceBoot() - startSinceBoot) })
}

// timeSinceBoot reads CLOCK_BOOTTIME, or the wall clock if the kernel does not provide it.
func timeSinceBoot() time.Duration {
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return boot
}

// SuspendedTime returns how long the machine has been suspended in total since it booted, which the clock of package
// time does not count. It returns zero if the kernel does not provide the clocks.
func SuspendedTime() time.Duration {
	monotonic, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	boot, err := readClock(unix.CLOCK_BOOTTIME) // read last: the time between the two reads must not reduce the result
	if err != nil {
		return 0
	}
	return boot - monotonic
}

func readClock(id int32) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
