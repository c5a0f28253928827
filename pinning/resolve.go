package pinning

import "slices"

// Verdict is why the beginning of a stream is taken to be known, or why it is not.
type Verdict string

// The verdicts. With the first two, the pin is known.
const (
	// VerdictRecorded means that a process has a record of the stream.
	VerdictRecorded Verdict = "recorded"
	// VerdictOnlyVersion means that the stream can only have begun at one version, since there was no other.
	VerdictOnlyVersion Verdict = "only-version"
	// VerdictDisputed means that records of the stream contradict each other.
	VerdictDisputed Verdict = "disputed"
	// VerdictUnknown means that the stream may have begun at any of several versions.
	VerdictUnknown Verdict = "unknown"
)

// Known reports whether the stream can be continued.
func (v Verdict) Known() bool { return v == VerdictRecorded || v == VerdictOnlyVersion }

// Evidence is what a process knows of the beginning of a stream that a caller takes up.
type Evidence struct {
	// Named reports whether the caller has named the request that began the stream.
	Named bool
	// Answers are those of this process's own table and of the replicas that have answered.
	Answers []Answer
	// Only is the pin of the only version that the stream's service has had while the stream may have begun, zero if it has
	// had several. OnlyIsCertain means that this process would know of any other one.
	Only          Pin
	OnlyIsCertain bool
}

// Resolve decides where a stream began. A named stream without a record counts as unknown unless it is certain that there
// was only one version, and some replica agrees: this process may have been cut off while another version appeared.
func (e *Evidence) Resolve() (Pin, Verdict) {
	var found *Answer
	for i := range e.Answers {
		a := &e.Answers[i]
		switch {
		case !a.Found:
		case a.Disputed, found != nil && found.Pin != a.Pin:
			return Pin{}, VerdictDisputed
		default:
			found = a
		}
	}
	if found != nil {
		return found.Pin, VerdictRecorded
	}
	if e.Only.IsZero() || e.seesOtherVersion() {
		return Pin{}, VerdictUnknown
	}
	if e.Named && (!e.OnlyIsCertain || len(e.Answers) == 0) {
		return Pin{}, VerdictUnknown
	}
	return e.Only, VerdictOnlyVersion
}

// seesOtherVersion reports whether a replica has records of another version of the service.
func (e *Evidence) seesOtherVersion() bool {
	return slices.ContainsFunc(e.Answers, func(a Answer) bool {
		return slices.ContainsFunc(a.Others, func(pin Pin) bool { return pin != e.Only })
	})
}
