package e2e

import (
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

// longAnswer asks for an answer that takes about two seconds.
func longAnswer(stream string) string {
	return `{"model":"m","stream":` + stream + `,"max_tokens":400,"messages":[{"role":"user","content":"wait for me"}]}`
}

func TestPlannedStopCutsNoStream(t *testing.T) {
	f := newFleet(t)
	_, first := f.engine(rillreach.SideOld, "--engine-token-time", "5ms")
	key := f.account("kigali", allOld("m"))
	entry := f.entry()
	url := "http://" + entry.address("callers") + chatPath
	serves(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) })

	t.Run("an agent that stops finishes its stream", func(t *testing.T) {
		resp := open(t, url, key, longAnswer("true"))
		first.signal(syscall.SIGTERM)
		assert.Contains(t, readAll(t, resp), "data: [DONE]")
		<-first.exited
	})
	t.Run("an entry that stops finishes its stream", func(t *testing.T) {
		f.engine(rillreach.SideOld, "--engine-token-time", "5ms")
		serves(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) })
		resp := open(t, url, key, longAnswer("true"))
		entry.signal(syscall.SIGTERM)
		assert.Contains(t, readAll(t, resp), "data: [DONE]")
		<-entry.exited
		require.Zero(t, entry.cmd.ProcessState.ExitCode())
	})
}

func TestPlatformOutageStopsNoRequests(t *testing.T) {
	f := newFleet(t)
	f.engine(rillreach.SideOld)
	key := f.account("kigali", allOld("m"))
	url := "http://" + f.entry().address("callers") + chatPath
	request := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) }
	serves(t, http.StatusOK, request)
	f.setFaults(`{"down":true}`)
	for range 5 {
		a, err := request()
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, a.status, a.body)
	}
	f.setFaults(`{}`)
}

// TestEngineDiesWhileItAnswers kills an engine in the middle of an answer: a streamed answer is cut so that it cannot be
// taken for whole, and one that is not streamed is had from another engine.
func TestEngineDiesWhileItAnswers(t *testing.T) {
	f := newFleet(t)
	first, _ := f.engine(rillreach.SideOld, "--engine-token-time", "5ms")
	key := f.account("kigali", allOld("m"))
	url := "http://" + f.entry().address("callers") + chatPath
	warm := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) }
	serves(t, http.StatusOK, warm)
	t.Run("a streamed answer is cut", func(t *testing.T) {
		resp := open(t, url, key, longAnswer("true"))
		first.kill()
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.Error(t, err)
		assert.NotContains(t, string(data), "data: [DONE]")
		assert.Contains(t, string(data), `"outcome":"unknown"`)
	})
	t.Run("an answer that is not streamed is had from another", func(t *testing.T) {
		second, _ := f.engine(rillreach.SideOld, "--engine-token-time", "5ms")
		serves(t, http.StatusOK, warm)
		answers := make(chan answer, 1)
		go func() {
			a, _ := trySend(http.MethodPost, url, key, longAnswer("false"))
			answers <- a
		}()
		eventually(t, func() bool {
			var load struct{ Running int }
			get(t, "http://"+second.address("standin")+"/load", &load)
			return load.Running > 0
		}, "engine answers")
		f.engine(rillreach.SideOld, "--engine-token-time", "5ms")
		eventually(t, func() bool { return f.instances() == 4 }, "third engine's agent is listed")
		second.kill()
		a := <-answers
		assert.Equal(t, http.StatusOK, a.status, a.body)
	})
}
