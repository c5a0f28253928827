package poison

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// Crash records that a run of a runner ended while it was processing a request.
type Crash struct {
	Request Fingerprint `cbor:"1,keyasint"`
	// Runner and Generation identify the run. The generation is zero if unknown.
	Runner     rillreach.InstanceID `cbor:"2,keyasint"`
	Generation rillreach.Generation `cbor:"3,keyasint,omitempty"`
	// Age is the time from the end of the run to the creation of this message.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Cleared crashes no longer count against the request, since a runner has processed a request with the same
	// fingerprint successfully, or further than any runner that crashed.
	Cleared bool `cbor:"5,keyasint,omitempty"`
	// Received is the number of response bytes that had been received when the run ended.
	Received int64 `cbor:"6,keyasint,omitempty"`
	// Trial reports that the request was sent as a trial (see VerdictTrial).
	Trial bool `cbor:"7,keyasint,omitempty"`
	// Answered reports that runners had answered requests with the same fingerprint before, as far as the reporting
	// entry knows.
	Answered bool `cbor:"8,keyasint,omitempty"`
	// Outage reports that a large part of the service's runs ended at about the same time, so that this request is
	// probably not the cause.
	Outage bool `cbor:"9,keyasint,omitempty"`
	// Depth is set if Request is the fingerprint of a part of prompts: the position of the part, from 1 on.
	Depth int `cbor:"10,keyasint,omitempty"`
	// Account identifies the client account whose request had the part. It is set only with Depth.
	Account Fingerprint `cbor:"11,keyasint,omitempty"`
}

// run returns the run that has ended.
func (c Crash) run() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: c.Runner, Generation: c.Generation}
}

// isSame reports whether two reports are about the same crash.
func (c Crash) isSame(other Crash) bool {
	return c.Request == other.Request && c.run() == other.run() && c.Account == other.Account
}

// Check reports whether the crash is invalid.
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
	if c.Depth < 0 {
		return errors.Newf("crash under part %d of a prompt", c.Depth)
	}
	return nil
}

// merge combines two reports of the same crash. Their order does not affect the result.
func (c Crash) merge(other Crash) Crash {
	c.Received = max(c.Received, other.Received)
	c.Cleared = c.Cleared || other.Cleared
	c.Trial = c.Trial || other.Trial
	c.Answered = c.Answered || other.Answered
	c.Outage = c.Outage || other.Outage
	c.Depth = max(c.Depth, other.Depth)
	return c
}

// Report reports crashes to an agent, which forwards them to all entries that follow it.
type Report struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// Check reports whether the message is invalid.
func (r Report) Check() error {
	for _, c := range r.Crashes {
		if err := c.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Receipt acknowledges a Report.
type Receipt struct {
	// New is the number of crashes that were new to the agent.
	New int `cbor:"1,keyasint,omitempty"`
}

// Check reports whether the message is invalid.
func (r Receipt) Check() error {
	if r.New < 0 {
		return errors.Newf("crash receipt has a negative number of new crashes: %d", r.New)
	}
	return nil
}
