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
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return boot
}

// SuspendedTime is for how long the machine has been suspended since it started, which the clock of package time does not count; zero where
// the kernel does not tell.
func SuspendedTime() time.Duration {
	steady, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	boot, err := readClock(unix.CLOCK_BOOTTIME) // read last, so that the time between both readings is no suspension that is taken back
	if err != nil {
		return 0
	}
	return boot - steady
}

func readClock(id int32) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
