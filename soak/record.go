package main

import "time"

// kind is a kind of request.
type kind string

// The kinds of requests.
const (
	kindRepeat kind = "repeat"
	kindOnce   kind = "once"
	kindStream kind = "stream"
	kindFlow   kind = "flow"
	// kindPrompt requests go to engines, and may go on elsewhere.
	kindPrompt kind = "prompt"
	// kindChat requests do so too, last longer and have one runner less to go to.
	kindChat kind = "chat"
)

// once reports that a request of the kind must not run twice.
func (k kind) once() bool { return k == kindOnce || k == kindFlow }

// call is what a caller saw of one request.
type call struct {
	ID   string
	Kind kind
	Key  string
	// Entry is the one that the request's connection led to.
	Entry int
	Sent  time.Time
	// Written is when the whole request had been sent, zero where it never was.
	Written time.Time
	Ended   time.Time
	Status  int
	Body    string
	// Cut says that the answer did not end as it should, or never came.
	Cut bool
	// Fatal names the request where it ends the runners that begin it; it comes again and again.
	Fatal string
	// Fresh says that the connection was opened for the request, Refused that it could not be since nobody listened.
	Fresh   bool
	Refused bool
}

// run is what a runner saw of one request.
type run struct {
	ID     string
	Runner string
	// Zone is the runner's.
	Zone string
	At   time.Time
	// First is when its first event went out, zero where none did; Until is when the runner's work on it ended, zero where it goes on.
	First time.Time
	Until time.Time
	// Whole says that the runner answered to the end.
	Whole bool
	// Weights are those that the run began on, zero where the runner has none.
	Weights uint64
	// Fatal names the request where it ends runners, and Killed says that it has ended this one.
	Fatal  string
	Killed bool
}

// span is a time in which something was disturbed.
type span struct{ From, To time.Time }

// record is all that was seen.
type record struct {
	Calls []call
	Runs  []run
	// Probes are what entries said of the routes of new configurations.
	Probes []probe
	// Arrivals are the requests that came to runners, also those that were turned away.
	Arrivals []arrival
	// Orders are those that engines got, in the order of their coming.
	Orders []given
	// Named is when each version of the weights was named, Loaded what each engine has at the end.
	Named  map[uint64]time.Time
	Loaded map[string]uint64
	// Ended is when the record was closed.
	Ended time.Time
	// Disturbed are the times in which an entry was under a fault of its own, by entry.
	Disturbed map[int][]span
	// CutOff are the times in which an entry had no path to the object store, or that served nobody.
	CutOff map[int][]span
	// Entries are the histories of the entries' processes, Harmed the times in which each place of runners was under a fault; a fault
	// without a length broke all connections there.
	Entries map[int]history
	Harmed  map[string][]span
	// Left is when each runner's leaving was acknowledged, Removed when each key was taken away.
	Left    map[string]time.Time
	Removed map[string]time.Time
	// Evacuated are the times in which the far zone was evacuated.
	Evacuated []span
	// Quiet is when the last fault was over.
	Quiet time.Time
}
