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

// errorBody is an error in the shape of OpenAI's interface, with the outcome added.
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

func bodyOf(refusal *rillreach.Refusal) errorBody {
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

// end tells the caller of a refusal, also where part of the answer has gone out already.
func end(x *rillreach.Exchange, refusal *rillreach.Refusal) {
	if !x.ResponseStarted {
		writeRefusal(x.Writer, refusal)
		return
	}
	if data, err := json.Marshal(bodyOf(refusal)); err == nil && x.Request.Stream {
		_, _ = fmt.Fprintf(x.Writer, "data: %s\n\n", data)
		_ = http.NewResponseController(x.Writer).Flush()
	}
	panic(http.ErrAbortHandler) // the connection is cut, so that the answer cannot be taken for a whole one
}

// closingWriter has a caller's connection closed with the answer where the entry leaves by the time the answer begins, so that
// the caller's next request goes to another entry.
type closingWriter struct {
	http.ResponseWriter
	node *node.Node
}

// WriteHeader begins the answer.
func (w closingWriter) WriteHeader(status int) {
	if w.node.Leaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the connection's own writer, for its deadlines and its flushing.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (e *Entry) closing(w http.ResponseWriter) http.ResponseWriter {
	return closingWriter{ResponseWriter: w, node: e.Node}
}

func writeRefusal(w http.ResponseWriter, refusal *rillreach.Refusal) {
	header := w.Header()
	header.Set(rillreach.HeaderOutcome, string(refusal.Outcome))
	header.Set(rillreach.HeaderReason, string(refusal.Reason))
	if wait := retryAfter(refusal); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(wait))
	}
	writeJSON(w, refusal.HTTPStatus(), bodyOf(refusal))
}

const defaultRetry = time.Second

// retryAfter is in how many whole seconds the caller should come back, or zero where that makes no sense.
func retryAfter(refusal *rillreach.Refusal) int {
	wait := refusal.RetryAfter
	status := refusal.HTTPStatus()
	if wait <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		wait = defaultRetry
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

// models lists what the account's rows name.
func (e *Entry) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.running.Add()
	defer e.running.Done()
	w = e.closing(w)
	x := &rillreach.Exchange{Writer: w, Request: requestOf(r)}
	if err := (authenticate.Filter{Table: e.Node.Table}).Run(r.Context(), x); err != nil {
		writeRefusal(w, rillreach.NotRun(rillreach.ReasonUnauthorized, "key is not valid"))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	seen := map[rillreach.ModelID]bool{}
	for _, line := range e.Node.Table.List(x.Request.Account) {
		if !seen[line.Row.Model] {
			list.Data = append(list.Data, modelEntry{ID: string(line.Row.Model), Object: "model", OwnedBy: "rillreach"})
			seen[line.Row.Model] = true
		}
	}
	writeJSON(w, http.StatusOK, list)
}
