package main

import "time"

// kind is a kind of request, and the name of its route.
type kind string

// The kinds of requests.
const (
	kindRepeat kind = "repeat"
	kindOnce   kind = "once"
	kindStream kind = "stream"
	kindFlow   kind = "flow"
	// kindPrompt requests go to engines and may be resumed at another one.
	kindPrompt kind = "prompt"
	// kindChat requests also do, but last longer and may be tried at one runner fewer.
	kindChat kind = "chat"
)

// once reports whether requests of the kind must not run twice.
func (k kind) once() bool { return k == kindOnce || k == kindFlow }

// callRecord is a request as its caller saw it.
type callRecord struct {
	ID   string
	Kind kind
	Key  string
	// Conversation identifies the conversation that a prompt continues.
	Conversation string
	// Entry is the number of the entry that the request was sent to.
	Entry  int
	SentAt time.Time
	// WrittenAt is when the request had been fully sent, or zero if it never was.
	WrittenAt time.Time
	EndedAt   time.Time
	Status    int
	Body      string
	// Truncated reports whether the response ended early or never came, and Sealed whether it has the seal of a runner.
	Truncated bool
	Sealed    bool
	// Fatal is the name of a fatal request, which crashes the runners that start it and is sent repeatedly, or the fatal part
	// of its prompt. It is empty for other requests.
	Fatal string
	// Parts are the shared parts of the prompt, if they are not those of the conversation.
	Parts []string
	// NewConnection reports whether the connection was opened for this request, and Refused whether opening it was
	// refused.
	NewConnection bool
	Refused       bool
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration
	// Resumes is the request that the call names as the one that began its stream, Begun the one that really did, and After
	// the last event that the caller had by then. They are empty if the call takes up no stream.
	Resumes string
	Begun   string
	After   int
}

// execution is a request as a runner saw it.
type execution struct {
	ID     string
	Runner string
	// Zone is the runner's zone.
	Zone      string
	StartedAt time.Time
	// FirstEventAt is when the first event was sent, or zero if none was. EndedAt is when the runner stopped working on
	// the request, or zero if it has not.
	FirstEventAt time.Time
	EndedAt      time.Time
	// Complete reports whether the runner completed its response.
	Complete bool
	// Software is the version of the runner's software.
	Software string
	// Weights is the version of the weights at the start of the execution, or zero if the runner has none.
	Weights uint64
	// After is the last event that the caller had when the request was sent.
	After int
	// Spoiled reports whether the runner spoiled its answer.
	Spoiled bool
	// Fatal is the name of a fatal request, or the fatal part of its prompt, and empty for others. Killed reports whether this execution ended the
	// runner.
	Fatal  string
	Killed bool
}

// interval is the time for which a fault lasted.
type interval struct{ From, To time.Time }

// observations holds everything that was observed in a run of the soak.
type observations struct {
	Calls      []callRecord
	Executions []execution
	// Probes holds the answers of entries about the routes of new configurations.
	Probes []probe
	// Arrivals holds the requests that reached runners, including refused ones.
	Arrivals []arrival
	// ReceivedOrders holds the orders that engines received, in the order of arrival.
	ReceivedOrders []receivedOrder
	// WeightsPublished is when each version of the weights was published, and LoadedWeights is what each engine has at
	// the end.
	WeightsPublished map[uint64]time.Time
	LoadedWeights    map[string]uint64
	// Ended is when the observations were collected.
	Ended time.Time
	// Disturbances holds the faults of each entry.
	Disturbances map[int][]interval
	// StoreOutages holds the intervals in which each entry could not reach the object store, or the store served
	// nobody.
	StoreOutages map[int][]interval
	// Entries holds the histories of the entries' processes. RunnerFaults holds the faults of each plain runner and
	// engine, by name. A fault of zero duration broke all connections of the runner.
	Entries      map[int]processHistory
	RunnerFaults map[string][]interval
	// Silences holds the times for which each plain runner and engine was out of reach, by name.
	Silences map[string][]interval
	// SoftwareRuns holds the times for which runners have run with a version of their software.
	SoftwareRuns []softwareRun
	// LeavingSince is when each runner's leave was acknowledged, and KeysRemoved when each key was removed.
	LeavingSince map[string]time.Time
	KeysRemoved  map[string]time.Time
	// Evacuations holds the evacuations of the far zone.
	Evacuations []interval
	// LastFaultEnd is when the last fault was over.
	LastFaultEnd time.Time
}
