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

// callRecord is what a caller saw of one request.
type callRecord struct {
	ID   string
	Kind kind
	Key  string
	// Entry is the one that the request's connection led to.
	Entry  int
	SentAt time.Time
	// WrittenAt is when the whole request had been sent, zero where it never was.
	WrittenAt time.Time
	EndedAt   time.Time
	Status    int
	Body      string
	// Truncated says that the answer did not end as it should, or never came.
	Truncated bool
	// Fatal names the request where it ends the runners that begin it; it comes again and again.
	Fatal string
	// NewConnection says that the connection was opened for the request, Refused that it could not be since nobody listened.
	NewConnection bool
	Refused       bool
}

// execution is what a runner saw of one request.
type execution struct {
	ID     string
	Runner string
	// Zone is the runner's.
	Zone      string
	StartedAt time.Time
	// FirstEventAt is when its first event went out, zero where none did; Until is when the runner's work on it ended, zero where it goes on.
	FirstEventAt time.Time
	EndedAt      time.Time
	// Complete says that the runner answered to the end.
	Complete bool
	// Weights are those that the run began on, zero where the runner has none.
	Weights uint64
	// Fatal names the request where it ends runners, and Killed says that it has ended this one.
	Fatal  string
	Killed bool
}

// interval is a time in which something was disturbed.
type interval struct{ From, To time.Time }

// observations is all that was seen.
type observations struct {
	Calls      []callRecord
	Executions []execution
	// Probes are what entries said of the routes of new configurations.
	Probes []probe
	// Arrivals are the requests that came to runners, also those that were turned away.
	Arrivals []arrival
	// ReceivedOrders are those that engines got, in the order of their coming.
	ReceivedOrders []receivedOrder
	// WeightsPublished is when each version of the weights was named, Loaded what each engine has at the end.
	WeightsPublished map[uint64]time.Time
	LoadedWeights    map[string]uint64
	// Ended is when the record was closed.
	Ended time.Time
	// Disturbances are the times in which an entry was under a fault of its own, by entry.
	Disturbances map[int][]interval
	// StoreOutages are the times in which an entry had no path to the object store, or that served nobody.
	StoreOutages map[int][]interval
	// Entries are the histories of the entries' processes, Harmed the times in which each place of runners was under a fault; a fault
	// without a length broke all connections there.
	Entries      map[int]processHistory
	RunnerFaults map[string][]interval
	// LeavingSince is when each runner's leaving was acknowledged, Removed when each key was taken away.
	LeavingSince map[string]time.Time
	KeysRemoved  map[string]time.Time
	// Evacuations are the times in which the far zone was evacuated.
	Evacuations []interval
	// LastFaultEnd is when the last fault was over.
	LastFaultEnd time.Time
}
