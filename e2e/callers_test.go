package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

func TestCallerInterface(t *testing.T) {
	f := newFleet(t)
	e, _ := f.startEngine(rillreach.SideOld, "--engine-token-time", "5ms")
	key := f.createAccount("kigali", oldSideRow("m"))
	entry := f.entry("--max-body", "100000")
	base := "http://" + entry.address("callers")
	awaitStatus(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, base+chatPath, key, chatBody("x", false)) })
	engineRequests := func() int {
		var stats struct{ Requests int }
		getJSON(t, "http://"+e.address("standin")+"/stats", &stats)
		return stats.Requests
	}
	before := engineRequests()
	for name, bad := range map[string]struct {
		body   string
		status int
		reason rillreach.Reason
	}{
		"a body that is not JSON":        {`{"model":`, http.StatusBadRequest, rillreach.ReasonBadRequest},
		"a body without a model":         {`{"messages":[{"role":"user","content":"x"}]}`, http.StatusBadRequest, rillreach.ReasonBadRequest},
		"a body without a prompt":        {`{"model":"m"}`, http.StatusBadRequest, rillreach.ReasonBadRequest},
		"messages that are not a list":   {`{"model":"m","messages":"x"}`, http.StatusBadRequest, rillreach.ReasonBadRequest},
		"a stream that is not a boolean": {`{"model":"m","stream":"yes","messages":[{}]}`, http.StatusBadRequest, rillreach.ReasonBadRequest},
		"a body that is too large":       {`{"model":"m","prompt":"` + strings.Repeat("x", 100_000) + `"}`, http.StatusRequestEntityTooLarge, rillreach.ReasonTooLarge},
	} {
		t.Run(name+" is refused", func(t *testing.T) {
			assertRefused(t, send(t, http.MethodPost, base+chatPath, key, bad.body), bad.status, rillreach.OutcomeNotRun, bad.reason)
		})
	}
	t.Run("a deadline that is not a duration is refused", func(t *testing.T) {
		a := send(t, http.MethodPost, base+chatPath, key, chatBody("x", false), rillreach.HeaderDeadline, "soon")
		assertRefused(t, a, http.StatusBadRequest, rillreach.OutcomeNotRun, rillreach.ReasonBadRequest)
	})
	t.Run("an unknown path is refused", func(t *testing.T) {
		assertRefused(t, send(t, http.MethodPost, base+"/v2/x", key, ""), http.StatusNotFound, rillreach.OutcomeNotRun, rillreach.ReasonUnknownPath)
	})
	t.Run("a method that a path does not support is refused", func(t *testing.T) {
		assertRefused(t, send(t, http.MethodGet, base+chatPath, key, ""), http.StatusMethodNotAllowed, rillreach.OutcomeNotRun, rillreach.ReasonMethodNotAllowed)
	})
	t.Run("conflicting Content-Length headers are refused", func(t *testing.T) {
		conn, err := net.Dial("tcp", entry.address("callers"))
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", chatPath)
		require.NoError(t, err)
		status, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err)
		assert.Contains(t, status, "400")
	})
	assert.Equal(t, before, engineRequests(), "a refused request was run")
	t.Run("the account's models are listed", func(t *testing.T) {
		a := send(t, http.MethodGet, base+"/v1/models", key, "")
		assert.Contains(t, a.body, `"id":"m"`)
	})
	t.Run("completions are served, with usage on request", func(t *testing.T) {
		a := send(t, http.MethodPost, base+"/v1/completions", key, `{"model":"m","prompt":"a b c","stream":true,"stream_options":{"include_usage":true}}`)
		assert.Contains(t, a.body, `"prompt_tokens":3`)
		assert.Contains(t, a.body, "data: [DONE]")
	})
	t.Run("a caller that disconnects cancels its request at the engine", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+chatPath, strings.NewReader(longAnswerRequest("true")))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		cancel()
		_ = resp.Body.Close()
		eventually(t, func() bool {
			var stats struct{ Cancelled int }
			getJSON(t, "http://"+e.address("standin")+"/stats", &stats)
			return stats.Cancelled > 0
		}, "engine cancels the request")
	})
}
