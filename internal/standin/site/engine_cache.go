package site

import (
	"cmp"
	"net/http"
	"strconv"
	"time"
)

// AddCachedPart adds a part to the KV cache.
func (e *Engine) AddCachedPart(salt, part string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheEvents = append(e.cacheEvents, []any{len(e.cacheEvents) + 1, "+", salt, part, tokens, e.Model})
}

// eventPollInterval is how often a waiting call checks for new events.
const eventPollInterval = 5 * time.Millisecond

// serveEvents responds once there are events after the caller's position, or after the caller's maximum wait.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		wait = 0
	}
	since, err := strconv.Atoi(cmp.Or(r.URL.Query().Get("since"), "0"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for !e.writeEvents(w, since, false) {
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			e.writeEvents(w, since, true)
			return
		case <-time.After(eventPollInterval):
		}
	}
}

// writeEvents writes the events after a position, or an empty response if the wait has timed out. It reports whether it
// wrote a response.
func (e *Engine) writeEvents(w http.ResponseWriter, since int, timedOut bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if since == len(e.cacheEvents) && !timedOut {
		return false
	}
	events := [][]any{}
	if !timedOut && since >= 0 && since < len(e.cacheEvents) {
		events = e.cacheEvents[since:]
	}
	e.writeFields(w, http.StatusOK, map[string]any{"boot_epoch": e.restarts + 1, "next_page_token": len(e.cacheEvents), "lost": false, "events": events})
	return true
}
