package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

// longAnswerRequest returns a request body whose answer takes about two seconds.
func longAnswerRequest(stream string) string {
	return `{"model":"m","stream":` + stream + `,"max_tokens":400,"messages":[{"role":"user","content":"wait for me"}]}`
}

func TestShutdownCompletesStreams(t *testing.T) {
	f := newFleet(t)
	_, first := f.startEngine(rillreach.SideOld, "--engine-token-time", "5ms")
	key := f.createAccount("kigali", oldSideRow("m"))
	entry := f.entry()
	url := "http://" + entry.address("callers") + chatPath
	awaitStatus(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) })

	t.Run("a stopping agent completes its stream", func(t *testing.T) {
		resp := openStream(t, url, key, longAnswerRequest("true"))
		first.signal(syscall.SIGTERM)
		assert.Contains(t, readAll(t, resp), "data: [DONE]")
		<-first.exited
	})
	t.Run("a stopping entry completes its stream", func(t *testing.T) {
		f.startEngine(rillreach.SideOld, "--engine-token-time", "5ms")
		awaitStatus(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) })
		resp := openStream(t, url, key, longAnswerRequest("true"))
		entry.signal(syscall.SIGTERM)
		assert.Contains(t, readAll(t, resp), "data: [DONE]")
		<-entry.exited
		require.Zero(t, entry.cmd.ProcessState.ExitCode())
	})
}

// sendOnNewConn sends one prompt on a new connection. closes reports that the entry asked to close the connection.
func sendOnNewConn(url, key, body string) (a answer, closes bool, err error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return answer{}, false, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return answer{}, false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data)}, resp.Close, err
}

// sendPartialRequest sends a request without the end of its body and returns the reader for the answer.
func sendPartialRequest(t *testing.T, address, key string) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	return bufio.NewReader(conn)
}

// assertAnsweredWhileAlive sends a request on conn and fails if the process gives no answer but keeps running.
func assertAnsweredWhileAlive(t *testing.T, entry *process, conn net.Conn, key string) {
	t.Helper()
	_, err := io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\n\r\n")
	if err == nil {
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if err == nil {
		return
	}
	select {
	case <-entry.exited:
	case <-time.After(listenerCloseMargin):
		assert.NoError(t, err, "a running entry dropped a request that it had read")
	}
}

// TestStoppingEntryAnswersEveryRequest guards against requests that a stopping entry drops without an answer. Callers
// send requests during the shutdown, and one answer takes longer than the grace period.
func TestStoppingEntryAnswersEveryRequest(t *testing.T) {
	f := newFleet(t)
	engine, _ := f.startEngine(rillreach.SideOld, "--engine-token-time", "100ms")
	key := f.createAccount("kigali", oldSideRow("m"))
	startReadyEntry := func(t *testing.T, more ...string) (*process, string) {
		t.Helper()
		entry := f.entry(more...)
		url := "http://" + entry.address("callers") + chatPath
		awaitStatus(t, http.StatusOK, func() (answer, error) {
			return trySend(http.MethodPost, url, key, `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"warm up"}]}`)
		})
		return entry, url
	}
	signalAndAwaitLeaving := func(t *testing.T, entry *process) {
		t.Helper()
		entry.signal(syscall.SIGTERM)
		eventually(t, func() bool { return strings.Contains(entry.logText(), `"msg":"leaving"`) }, "entry starts leaving")
	}
	assertLeavingRefusal := func(t *testing.T, a answer, closes bool, err error) {
		t.Helper()
		require.NoError(t, err)
		assert.Equal(t, string(rillreach.OutcomeNotRun), a.header.Get(rillreach.HeaderOutcome), a.body)
		assert.Equal(t, string(rillreach.ReasonLeaving), a.header.Get(rillreach.HeaderReason), a.body)
		assert.True(t, closes, "the entry closes the connection")
	}
	t.Run("an idle entry refuses new requests until a load balancer can have noticed the stop", func(t *testing.T) {
		entry, url := startReadyEntry(t)
		ready := "http://" + entry.address("operators") + "/readyz"
		signalAndAwaitLeaving(t, entry)
		eventually(t, func() bool { return getStatus(ready) == http.StatusServiceUnavailable }, "entry reports that it is not ready")
		a, closes, err := sendOnNewConn(url, key, chatBody("late", false))
		assertLeavingRefusal(t, a, closes, err)
		<-entry.exited
		assert.Zero(t, entry.cmd.ProcessState.ExitCode())
	})
	t.Run("late requests on open connections are answered until the process exits", func(t *testing.T) {
		const conns, gap = 12, 100 * time.Millisecond
		var requests conc.WaitGroup
		entry, _ := startReadyEntry(t)
		signalAndAwaitLeaving(t, entry)
		signalled := time.Now()
		time.Sleep(2900 * time.Millisecond) // the first arrive just before the exit, the others could delay it
		for i := range conns {
			conn, err := net.Dial("tcp", entry.address("callers"))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			requests.Go(func() {
				time.Sleep(time.Until(signalled.Add(3*time.Second + time.Duration(i)*gap)))
				assertAnsweredWhileAlive(t, entry, conn, key)
			})
		}
		requests.Wait()
		<-entry.exited
	})
	t.Run("an answer that cannot be completed within the grace period is replaced by an error", func(t *testing.T) {
		entry, url := startReadyEntry(t, "--grace", "4s")
		type result struct {
			answer
			closes bool
			err    error
		}
		results := make(chan result, 1)
		go func() {
			a, closes, err := sendOnNewConn(url, key, longAnswerRequest("false"))
			results <- result{a, closes, err}
		}()
		eventually(t, func() bool {
			var load struct{ Running int }
			getJSON(t, "http://"+engine.address("standin")+"/load", &load)
			return load.Running > 0
		}, "engine answers")
		half := sendPartialRequest(t, entry.address("callers"), key)
		signalAndAwaitLeaving(t, entry)
		a, closes, err := sendOnNewConn(url, key, chatBody("late", false))
		assertLeavingRefusal(t, a, closes, err)
		resp, err := http.ReadResponse(half, nil)
		require.NoError(t, err)
		assertLeavingRefusal(t, answer{header: resp.Header, body: readAll(t, resp)}, resp.Close, nil)
		r := <-results
		require.NoError(t, r.err)
		assert.Equal(t, string(rillreach.OutcomeUnknown), r.header.Get(rillreach.HeaderOutcome), r.body)
		assert.Equal(t, string(rillreach.ReasonLeaving), r.header.Get(rillreach.HeaderReason), r.body)
		assert.True(t, r.closes)
		<-entry.exited
		assert.Zero(t, entry.cmd.ProcessState.ExitCode())
	})
}

func TestRequestsDuringPlatformOutage(t *testing.T) {
	f := newFleet(t)
	f.startEngine(rillreach.SideOld)
	key := f.createAccount("kigali", oldSideRow("m"))
	url := "http://" + f.entry().address("callers") + chatPath
	request := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) }
	awaitStatus(t, http.StatusOK, request)
	f.setFaults(`{"down":true}`)
	for range 5 {
		a, err := request()
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, a.status, a.body)
	}
	f.setFaults(`{}`)
}

// TestEngineKilledDuringAnswer kills an engine while it answers. A streamed answer must end in a way that callers
// cannot mistake for a complete one; an answer that is not streamed must come from another engine.
func TestEngineKilledDuringAnswer(t *testing.T) {
	f := newFleet(t)
	first, _ := f.startEngine(rillreach.SideOld, "--engine-token-time", "5ms")
	key := f.createAccount("kigali", oldSideRow("m"))
	url := "http://" + f.entry().address("callers") + chatPath
	warm := func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) }
	awaitStatus(t, http.StatusOK, warm)
	t.Run("a streamed answer ends with an error", func(t *testing.T) {
		resp := openStream(t, url, key, longAnswerRequest("true"))
		first.kill()
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.Error(t, err)
		assert.NotContains(t, string(data), "data: [DONE]")
		assert.Contains(t, string(data), `"outcome":"unknown"`)
	})
	t.Run("an answer that is not streamed comes from another engine", func(t *testing.T) {
		second, _ := f.startEngine(rillreach.SideOld, "--engine-token-time", "5ms")
		awaitStatus(t, http.StatusOK, warm)
		answers := make(chan answer, 1)
		go func() {
			a, _ := trySend(http.MethodPost, url, key, longAnswerRequest("false"))
			answers <- a
		}()
		eventually(t, func() bool {
			var load struct{ Running int }
			getJSON(t, "http://"+second.address("standin")+"/load", &load)
			return load.Running > 0
		}, "engine answers")
		f.startEngine(rillreach.SideOld, "--engine-token-time", "5ms")
		eventually(t, func() bool { return f.instanceCount() == 4 }, "third engine's agent is listed")
		second.kill()
		a := <-answers
		assert.Equal(t, http.StatusOK, a.status, a.body)
	})
}

// Guards against a streamed answer to a caller of HTTP/1.0, which ends with its connection, that looks complete although
// its engine was killed.
func TestEngineKilledDuringAnswerToOldCaller(t *testing.T) {
	f := newFleet(t)
	engine, _ := f.startEngine(rillreach.SideOld, "--engine-token-time", "5ms")
	key := f.createAccount("kigali", oldSideRow("m"))
	url := "http://" + f.entry().address("callers") + chatPath
	awaitStatus(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodPost, url, key, chatBody("warm up", false)) })
	complete, err := io.ReadAll(openStreamAsOldCaller(t, url, key, chatBody("short", true)))
	require.NoError(t, err)
	assert.Contains(t, string(complete), "data: [DONE]")
	stream := openStreamAsOldCaller(t, url, key, longAnswerRequest("true"))
	engine.kill()
	_, err = io.ReadAll(stream)
	assert.Error(t, err, "the connection ends like that of a complete answer")
}
