package bulletin

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
)

// RunnerLimit is a rate limit that a runner has set in a response.
type RunnerLimit struct {
	// Runner and Generation identify the run that responded. The generation is zero if unknown.
	Runner     rillreach.InstanceID `cbor:"1,keyasint"`
	Generation rillreach.Generation `cbor:"2,keyasint,omitempty"`
	Limit      backpressure.Limit   `cbor:"3,keyasint"`
	// SentAt and ReceivedAt are the times at which the request was sent and the response received, by the clock that all
	// runners share, in milliseconds.
	SentAt     int64 `cbor:"4,keyasint"`
	ReceivedAt int64 `cbor:"5,keyasint"`
}

// Run returns the run that responded.
func (l *RunnerLimit) Run() rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: l.Runner, Generation: l.Generation}
}

// Observation returns the limit with the times of its request and response.
func (l *RunnerLimit) Observation() backpressure.Observation {
	return backpressure.Observation{Limit: l.Limit, Sent: time.UnixMilli(l.SentAt), Received: time.UnixMilli(l.ReceivedAt)}
}

// Check reports whether the limit is invalid.
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

// Quota is a follower's share of a rate limit that a runner has set.
type Quota struct {
	RunnerLimit RunnerLimit `cbor:"1,keyasint"`
	// Permits is the number of requests that the follower may start within permit.Validity after the bulletin's Clock.
	Permits int `cbor:"2,keyasint,omitempty"`
}

// Check reports whether the quota is invalid.
func (q *Quota) Check() error {
	if q.Permits < 0 {
		return errors.Newf("bulletin has a negative number of permits, %d, for runner %s", q.Permits, q.RunnerLimit.Runner)
	}
	return q.RunnerLimit.Check()
}

// LimitReport is an entry's report of the rate limits that runners have set or recently lifted.
type LimitReport struct {
	Limits []RunnerLimit `cbor:"1,keyasint"`
}

// Check reports whether the message is invalid.
func (r LimitReport) Check() error { return checkEach(r.Limits) }

// LimitReceipt acknowledges a LimitReport.
type LimitReceipt struct {
	// Changed is the number of limits that were new to the agent.
	Changed int `cbor:"1,keyasint,omitempty"`
}

// Check reports whether the message is invalid.
func (r LimitReceipt) Check() error {
	if r.Changed < 0 {
		return errors.Newf("limit receipt has a negative number of changes: %d", r.Changed)
	}
	return nil
}
