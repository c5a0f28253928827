package bulletin

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
)

// RunnerLimit is what an answer of a runner said of its limit.
type RunnerLimit struct {
	// Runner is the one that answered, Generation its run where that is known.
	Runner     rillreach.InstanceID `cbor:"1,keyasint"`
	Generation rillreach.Generation `cbor:"2,keyasint,omitempty"`
	Limit      backpressure.Limit   `cbor:"3,keyasint"`
	// SentAt is when the request was sent, and ReceivedAt when its answer came, on the runners' clock, in milliseconds.
	SentAt     int64 `cbor:"4,keyasint"`
	ReceivedAt int64 `cbor:"5,keyasint"`
}

// Run is the run that answered.
func (l *RunnerLimit) Run() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: l.Runner, Generation: l.Generation}
}

// Observation is the answer by the runners' clock.
func (l *RunnerLimit) Observation() backpressure.Observation {
	return backpressure.Observation{Limit: l.Limit, Sent: time.UnixMilli(l.SentAt), Received: time.UnixMilli(l.ReceivedAt)}
}

// Check reports what is wrong with the message.
func (l *RunnerLimit) Check() error {
	switch {
	case l.Runner == "":
		return errors.New("limit names no runner")
	case l.SentAt <= 0 || l.ReceivedAt < l.SentAt:
		return errors.Newf("limit of runner %s was sent at %d ms and received at %d ms", l.Runner, l.SentAt, l.ReceivedAt)
	default:
		return l.Limit.Check()
	}
}

// Quota is what one follower may send to a runner that names a limit.
type Quota struct {
	RunnerLimit RunnerLimit `cbor:"1,keyasint"`
	// Permits is how many requests may begin within permit.Validity after the bulletin's Clock.
	Permits int `cbor:"2,keyasint,omitempty"`
}

// Check reports what is wrong with the message.
func (q *Quota) Check() error {
	if q.Permits < 0 {
		return errors.Newf("bulletin gives %d permits for runner %s", q.Permits, q.RunnerLimit.Runner)
	}
	return q.RunnerLimit.Check()
}

// LimitReport is what an entry knows of runners that name a limit, or lately named one.
type LimitReport struct {
	Limits []RunnerLimit `cbor:"1,keyasint"`
}

// Check reports what is wrong with the message.
func (r LimitReport) Check() error { return checkEach(r.Limits) }

// LimitReceipt says that a report was taken.
type LimitReceipt struct {
	// Changed is how many of the limits were new to the agent.
	Changed int `cbor:"1,keyasint,omitempty"`
}

// Check reports what is wrong with the message.
func (r LimitReceipt) Check() error {
	if r.Changed < 0 {
		return errors.Newf("report changed %d limits", r.Changed)
	}
	return nil
}
