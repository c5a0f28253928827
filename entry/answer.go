package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/filter/authenticate"
	"github.com/rillreach/rillreach/node"
)

// errorBody is an error response in the format of the OpenAI API, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string            `json:"message"`
	Type    string            `json:"type"`
	Param   *string           `json:"param"`
	Code    rillreach.Reason  `json:"code"`
	Outcome rillreach.Outcome `json:"outcome"`
}

func newErrorBody(refusal *rillreach.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: refusal.Message,
		Type:    errorType(refusal.HTTPStatus()),
		Code:    refusal.Reason,
		Outcome: refusal.Outcome,
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// finishWithRefusal sends a refusal to the caller. If the response has already started, it sends a final event on a
// stream and aborts the connection.
func finishWithRefusal(x *rillreach.Exchange, refusal *rillreach.Refusal) {
	if !x.ResponseStarted {
		writeRefusal(x.Writer, refusal)
		return
	}
	if data, err := json.Marshal(newErrorBody(refusal)); err == nil && x.Request.Stream {
		_, _ = fmt.Fprintf(x.Writer, "data: %s\n\n", data)
		_ = http.NewResponseController(x.Writer).Flush()
	}
	panic(http.ErrAbortHandler) // aborts the connection, so that a truncated response is not mistaken for a complete one
}

// closingWriter closes the caller's connection after the response if the entry is leaving when the response starts, so
// that the caller sends its next request to another entry.
type closingWriter struct {
	http.ResponseWriter
	node *node.Node
}

// WriteHeader adds the Connection header if the entry is leaving.
func (w closingWriter) WriteHeader(status int) {
	if w.node.Leaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, which http.ResponseController needs for deadlines and flushing.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (e *Entry) withCloseOnLeaving(w http.ResponseWriter) http.ResponseWriter {
	return closingWriter{ResponseWriter: w, node: e.Node}
}

func writeRefusal(w http.ResponseWriter, refusal *rillreach.Refusal) {
	header := w.Header()
	header.Set(rillreach.HeaderOutcome, string(refusal.Outcome))
	header.Set(rillreach.HeaderReason, string(refusal.Reason))
	if seconds := retryAfterSeconds(refusal); seconds > 0 {
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, refusal.HTTPStatus(), newErrorBody(refusal))
}

// defaultRetryAfter is sent with status 429 or 503 if the refusal has no retry time of its own.
const defaultRetryAfter = time.Second

// retryAfterSeconds returns the value of the Retry-After header. Zero means that the header is omitted.
func retryAfterSeconds(refusal *rillreach.Refusal) int {
	wait := refusal.RetryAfter
	status := refusal.HTTPStatus()
	if wait <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		wait = defaultRetryAfter
	}
	return int(math.Ceil(wait.Seconds()))
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models in the account's rows.
func (e *Entry) handleModels(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.running.Add()
	defer e.running.Done()
	w = e.withCloseOnLeaving(w)
	x := &rillreach.Exchange{Writer: w, Request: newRequest(r)}
	if err := (authenticate.Filter{Table: e.Node.Table}).Run(r.Context(), x); err != nil {
		writeRefusal(w, rillreach.NotRun(rillreach.ReasonUnauthorized, "key is not valid"))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	seen := map[rillreach.ModelID]bool{}
	for _, versioned := range e.Node.Table.List(x.Request.Account) {
		if !seen[versioned.Row.Model] {
			list.Data = append(list.Data, modelEntry{ID: string(versioned.Row.Model), Object: "model", OwnedBy: "rillreach"})
			seen[versioned.Row.Model] = true
		}
	}
	writeJSON(w, http.StatusOK, list)
}
