package fleet

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
)

// Dispatch is a request that an entry or agent sends to an agent to run.
type Dispatch struct {
	ID           rillreach.RequestID  `cbor:"1,keyasint"`
	Attempt      int                  `cbor:"2,keyasint"`
	Account      rillreach.AccountID  `cbor:"3,keyasint"`
	Model        rillreach.ModelID    `cbor:"4,keyasint,omitempty"`
	Version      rillreach.VersionID  `cbor:"5,keyasint,omitempty"`
	Objective    rillreach.Objective  `cbor:"6,keyasint,omitempty"`
	Service      rillreach.ServiceID  `cbor:"8,keyasint,omitempty"`
	Method       string               `cbor:"9,keyasint"`
	Path         string               `cbor:"10,keyasint"`
	Query        string               `cbor:"11,keyasint,omitempty"`
	Header       map[string][]string  `cbor:"12,keyasint,omitempty"`
	Body         []byte               `cbor:"13,keyasint,omitempty"`
	Deadline     time.Time            `cbor:"14,keyasint,omitzero"`
	Conversation uint64               `cbor:"15,keyasint,omitempty"`
	Blocks       []rillreach.BlockKey `cbor:"16,keyasint,omitempty"`
	Tokens       int                  `cbor:"17,keyasint,omitempty"`
	Once         bool                 `cbor:"18,keyasint,omitempty"`
	Key          string               `cbor:"19,keyasint,omitempty"`
	Ticket       string               `cbor:"20,keyasint,omitempty"`
	// NoDelegate means that the agent must run the request itself rather than delegate it to a better placed agent.
	NoDelegate bool `cbor:"21,keyasint,omitempty"`
	// Sides are the sides that may run the request.
	Sides []rillreach.Side `cbor:"22,keyasint,omitempty"`
	// RowVersion is the version that the sender's replica of the rows has reached.
	RowVersion uint64 `cbor:"23,keyasint,omitempty"`
	// Salt separates the request's scope from others in the engine's cache.
	Salt string `cbor:"24,keyasint,omitempty"`
}

// Check returns an error if the dispatch is invalid.
func (d Dispatch) Check() error {
	if d.ID == "" || d.Account == "" || d.Path == "" || d.Method == "" {
		return errors.New("dispatch lacks its request, account, method or path")
	}
	if (d.Service == "") == (d.Model == "") {
		return errors.New("dispatch names not just one of model and service")
	}
	if d.Service == "" && d.Once {
		return errors.New("dispatch of a prompt cannot ask to run once")
	}
	return nil
}

// Ack means that an agent has accepted a request.
type Ack struct {
	Hint       membership.LoadHint `cbor:"1,keyasint"`
	RowVersion uint64              `cbor:"2,keyasint,omitempty"`
}

// Check accepts every acknowledgement.
func (Ack) Check() error { return nil }

// Head is the status and header of a response.
type Head struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if the status is not that of a final HTTP response.
func (h Head) Check() error {
	if h.Status < 200 || h.Status > 599 {
		return errors.Newf("status %d is not one of a final answer", h.Status)
	}
	return nil
}
