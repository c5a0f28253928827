package responseclass

import "net/http"

// Class is what a response means for its request.
type Class string

// The classes of responses.
const (
	// Refused means that the runner states that it has not run the request and will not run it.
	Refused Class = "refused"
	// Answered means that the response is the runner's own answer, which may be forwarded.
	Answered Class = "answered"
	// Failed means that the runner itself states that it has failed the request. The response may be forwarded if no other
	// runner is asked.
	Failed Class = "failed"
	// Invalid means that the response is not the runner's own. The request may have run, and nothing of the response may be
	// forwarded.
	Invalid Class = "invalid"
)

// Response is the part of a response that its class depends on.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Sealed is set if the response carries the seal of a runner.
	Sealed bool
	// NotExecuted is set if the response states that the request has not run.
	NotExecuted bool
}

// Classify returns the class of a response.
func Classify(r Response) Class {
	isError := r.Status >= http.StatusBadRequest
	switch {
	case r.NotExecuted && isError:
		return Refused // runners seal no refusals
	case r.NotExecuted || !r.Sealed:
		return Invalid
	case r.Status >= http.StatusInternalServerError:
		return Failed
	default:
		return Answered
	}
}
