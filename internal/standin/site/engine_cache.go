package site

import (
	"cmp"
	"net/http"
	"strconv"
	"time"
)

// AddCachedPart has the engine hold a part from now on.
func (e *Engine) AddCachedPart(salt, part string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept = append(e.kept, []any{len(e.kept) + 1, "+", salt, part, tokens, e.Model})
}

// lookForEvents is how often a question that waits is looked at.
const lookForEvents = 5 * time.Millisecond

// events answers once there is something after the position that the caller knows, or the question has waited for as long as it may.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
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
	for !e.sayEvents(w, since, false) {
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			e.sayEvents(w, since, true)
			return
		case <-time.After(lookForEvents):
		}
	}
}

// sayEvents answers with the events after a position, with none where the question is over; it reports whether it answered.
func (e *Engine) sayEvents(w http.ResponseWriter, since int, over bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if since == len(e.kept) && !over {
		return false
	}
	events := [][]any{}
	if !over && since >= 0 && since < len(e.kept) {
		events = e.kept[since:]
	}
	e.say(w, http.StatusOK, map[string]any{"boot_epoch": e.starts + 1, "next_page_token": len(e.kept), "lost": false, "events": events})
	return true
}
