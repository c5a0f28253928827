package demo

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

// ticketEntries are entries that give out the tickets 1, 2 and so on, and answer calls by their ticket.
type ticketEntries struct {
	mu      sync.Mutex
	tickets int
	calls   int
	// answer returns the status and the outcome of a call at an entry with the given number.
	answer func(ticket string, entry int) (int, rillreach.Outcome)
}

// start returns a demonstration that uses the entries.
func (e *ticketEntries) start(t *testing.T, count int) *demonstration {
	t.Helper()
	d := &demonstration{fleet: &Fleet{}}
	for i := range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, i) }))
		t.Cleanup(server.Close)
		d.fleet.URLs = append(d.fleet.URLs, server.URL)
	}
	return d
}

func (e *ticketEntries) serve(w http.ResponseWriter, r *http.Request, entry int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/v1/tickets/") {
		e.tickets++
		_, _ = fmt.Fprintf(w, `{"ticket":"%d"}`, e.tickets)
		return
	}
	e.calls++
	status, outcome := e.answer(r.Header.Get(rillreach.HeaderTicket), entry)
	w.Header().Set(rillreach.HeaderOutcome, string(outcome))
	w.WriteHeader(status)
}

// Guards against counting a call as lost that the agent of its ticket has refused as not run.
func TestRefusedCallCountsAsLost(t *testing.T) {
	const entries = 2
	t.Run("a call that was not run is sent with a new ticket", func(t *testing.T) {
		e := &ticketEntries{answer: func(ticket string, _ int) (int, rillreach.Outcome) {
			if ticket == "1" {
				return http.StatusServiceUnavailable, rillreach.OutcomeNotRun
			}
			return http.StatusOK, ""
		}}
		require.NoError(t, e.start(t, entries).callUntilRun(t.Context(), "call"))
		assert.Equal(t, 2*entries, e.calls)
	})
	t.Run("a call that an entry has run is not sent again", func(t *testing.T) {
		e := &ticketEntries{answer: func(_ string, entry int) (int, rillreach.Outcome) {
			if entry == 0 {
				return http.StatusOK, ""
			}
			return http.StatusServiceUnavailable, rillreach.OutcomeNotRun
		}}
		require.Error(t, e.start(t, entries).callUntilRun(t.Context(), "call"))
		assert.Equal(t, entries, e.calls)
	})
	t.Run("a call that may have run is not sent again", func(t *testing.T) {
		e := &ticketEntries{answer: func(string, int) (int, rillreach.Outcome) {
			return http.StatusBadGateway, rillreach.OutcomeUnknown
		}}
		require.Error(t, e.start(t, entries).callUntilRun(t.Context(), "call"))
		assert.Equal(t, entries, e.calls)
	})
	t.Run("a call that is refused each time is lost", func(t *testing.T) {
		e := &ticketEntries{answer: func(string, int) (int, rillreach.Outcome) {
			return http.StatusServiceUnavailable, rillreach.OutcomeNotRun
		}}
		require.ErrorIs(t, e.start(t, entries).callUntilRun(t.Context(), "call"), errNotRun)
		assert.Equal(t, maxTickets, e.tickets)
	})
}
