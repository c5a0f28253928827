package poison

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Crash says that a request was under way at a run of a runner when that ended.
type Crash struct {
	Request Fingerprint `cbor:"1,keyasint"`
	// Runner and Generation name the run; the generation is zero where nobody knows it.
	Runner     rillreach.InstanceID `cbor:"2,keyasint"`
	Generation rillreach.Generation `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the run ended when the message was made.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Cleared says that a runner has answered such a request since, so that this crash isn't held against it.
	Cleared bool `cbor:"5,keyasint,omitempty"`
	// Received is how much of its answer the request had when the run ended, in bytes.
	Received int64 `cbor:"6,keyasint,omitempty"`
	// Trial says that the request was sent as a trial.
	Trial bool `cbor:"7,keyasint,omitempty"`
	// Answered says that runners had answered such requests before, as far as whoever saw the crash knows.
	Answered bool `cbor:"8,keyasint,omitempty"`
	// Outage says that most runs of the service ended at that moment, so that the request is one suspect among many.
	Outage bool `cbor:"9,keyasint,omitempty"`
}

// Check reports what is wrong with the message.
func (c Crash) Check() error {
	if c.Runner == "" {
		return errors.New("crash names no runner")
	}
	if c.Age < 0 {
		return errors.Newf("crash has an age of %s", c.Age)
	}
	if c.Received < 0 {
		return errors.Newf("crash after %d bytes", c.Received)
	}
	return nil
}

// merge joins what two tell of the same crash, in whichever order.
func (c Crash) merge(other Crash) Crash {
	c.Received = max(c.Received, other.Received)
	c.Cleared = c.Cleared || other.Cleared
	c.Trial = c.Trial || other.Trial
	c.Answered = c.Answered || other.Answered
	c.Outage = c.Outage || other.Outage
	return c
}

// Report tells an agent of crashes, which it tells all entries that follow it.
type Report struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// Check reports what is wrong with the message.
func (r Report) Check() error {
	for _, c := range r.Crashes {
		if err := c.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Receipt says that an agent has taken a report.
type Receipt struct {
	// New is how many of the crashes the agent hadn't known.
	New int `cbor:"1,keyasint,omitempty"`
}

// Check reports what is wrong with the message.
func (r Receipt) Check() error {
	if r.New < 0 {
		return errors.Newf("receipt of %d crashes", r.New)
	}
	return nil
}
