package gateway

import "time"

const (
	// evacuationComeBack is when a caller may come back whose request could only run in evacuated zones: evacuations last for seconds at the least.
	evacuationComeBack = time.Second
	// coldComeBack is the same where all runners are cold and have as much as they bear.
	coldComeBack = 200 * time.Millisecond
)

// leftOut counts the runners of a service that may not take a request, by why.
type leftOut struct{ evacuated, elsewhere, cold int }

// add counts a runner for which one of the reasons holds, the first that does, and reports that one does.
func (l *leftOut) add(evacuated, elsewhere, cold bool) bool {
	switch {
	case evacuated:
		l.evacuated++
	case elsewhere:
		l.elsewhere++
	case cold:
		l.cold++
	default:
		return false
	}
	return true
}

// refusal is why a request has no runner, where no other was left, and when its caller may come back; zero where that isn't known.
func (l *leftOut) refusal() (verdict string, after time.Duration) {
	switch {
	case l.cold > 0:
		return verdictCold, coldComeBack
	case l.evacuated > 0:
		return verdictEvacuated, evacuationComeBack
	case l.elsewhere > 0:
		return verdictElsewhere, evacuationComeBack
	default:
		return verdictNoRunner, 0
	}
}
