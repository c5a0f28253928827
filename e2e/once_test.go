package e2e

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

// fastOwnershipArgs are flags with which a fleet agrees on the owners of idempotency keys within a few seconds.
var fastOwnershipArgs = []string{"--owner-lead", "2s", "--watch-wait", "200ms"}

// onceFleet is a fleet with two entries in front of two agents of one service.
type onceFleet struct {
	*testFleet
	key       string
	entryURLs [2]string
	services  [2]*process
	agents    [2]*process
	entry     [2]*process
}

func newOnceFleet(t *testing.T, delay string) *onceFleet {
	t.Helper()
	f := &onceFleet{testFleet: newFleet(t)}
	for i := range f.services {
		f.services[i] = start(t, "standin", "service", "--service-delay", delay)
		args := []string{"--backend", "http://" + f.services[i].address("standin"), "--side", "old", "--service", "receipts"}
		f.agents[i] = f.startAgent(append(args, fastOwnershipArgs...)...)
	}
	f.key = f.createAccount("oja", oldSideRow("receipts"))
	for i := range f.entryURLs {
		f.entry[i] = f.testFleet.entry(append([]string{"--ack-timeout", "500ms"}, fastOwnershipArgs...)...)
		f.entryURLs[i] = "http://" + f.entry[i].address("callers")
	}
	for _, url := range f.entryURLs {
		awaitStatus(t, http.StatusOK, func() (answer, error) { return trySend(http.MethodGet, url+"/services/receipts/ready", f.key, "") })
	}
	return f
}

func (f *onceFleet) call(entry int, body string, headers ...string) (answer, error) {
	return trySend(http.MethodPost, f.entryURLs[entry]+"/services/receipts/issue", f.key, body, headers...)
}

func (f *onceFleet) issueTicket() string {
	f.t.Helper()
	a := send(f.t, http.MethodPost, f.entryURLs[0]+"/v1/tickets/receipts", f.key, "")
	require.Equal(f.t, http.StatusCreated, a.status, a.body)
	var parsed struct{ Ticket string }
	require.NoError(f.t, json.Unmarshal([]byte(a.body), &parsed))
	return parsed.Ticket
}

// runCount returns how many times the services have run a request with this body.
func (f *onceFleet) runCount(body string) int {
	f.t.Helper()
	total := 0
	for _, s := range f.services {
		var runs map[string]int
		getJSON(f.t, "http://"+s.address("standin")+"/runs", &runs)
		total += runs[body]
	}
	return total
}

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

// sendConcurrently sends the same call ten times to each of the two entries at once.
func (f *onceFleet) sendConcurrently(body string, headers ...string) []answer {
	f.t.Helper()
	const times = 10
	answers := make([]answer, 2*times)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i], _ = f.call(i%2, body, headers...)
		}()
	}
	wg.Wait()
	return answers
}

func TestTicketRunsOnce(t *testing.T) {
	f := newOnceFleet(t, "50ms")
	t.Run("sent to two entries at once", func(t *testing.T) {
		for _, a := range f.sendConcurrently("race", rillreach.HeaderTicket, f.issueTicket()) {
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.Equal(t, `/issue ran "race" time 1`, a.body)
		}
		assert.Equal(t, 1, f.runCount("race"))
	})
	t.Run("a ticket reused for a different call is refused", func(t *testing.T) {
		ticket := f.issueTicket()
		_, err := f.call(0, "first use", rillreach.HeaderTicket, ticket)
		require.NoError(t, err)
		a, err := f.call(1, "second use", rillreach.HeaderTicket, ticket)
		require.NoError(t, err)
		assertRefused(t, a, http.StatusUnprocessableEntity, rillreach.OutcomeNotRun, rillreach.ReasonKeyReused)
		assert.Zero(t, f.runCount("second use"))
	})
	t.Run("a non-repeatable call without a ticket receives one with its answer", func(t *testing.T) {
		a, err := f.call(0, "marked", rillreach.HeaderRepeat, rillreach.RepeatNever)
		require.NoError(t, err)
		again, err := f.call(1, "marked", rillreach.HeaderTicket, a.header.Get(rillreach.HeaderTicket))
		require.NoError(t, err)
		assert.Equal(t, a.body, again.body)
		assert.Equal(t, 1, f.runCount("marked"))
	})
	t.Run("tickets work during a platform outage", func(t *testing.T) {
		f.setFaults(`{"down":true}`)
		defer f.setFaults(`{}`)
		a, err := f.call(0, "outage", rillreach.HeaderTicket, f.issueTicket())
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, a.status, a.body)
	})
}

func TestKeyRunsOnce(t *testing.T) {
	f := newOnceFleet(t, "50ms")
	awaitStatus(t, http.StatusOK, func() (answer, error) {
		return f.call(0, "warm up", rillreach.HeaderIdempotencyKey, newIdempotencyKey(t))
	})
	awaitStatus(t, http.StatusOK, func() (answer, error) {
		return f.call(1, "warm up", rillreach.HeaderIdempotencyKey, newIdempotencyKey(t))
	})
	t.Run("sent to two entries at once", func(t *testing.T) {
		for _, a := range f.sendConcurrently("race", rillreach.HeaderIdempotencyKey, newIdempotencyKey(t)) {
			assert.Equal(t, http.StatusOK, a.status, a.body)
		}
		assert.Equal(t, 1, f.runCount("race"))
	})
	t.Run("a key without a timestamp is refused", func(t *testing.T) {
		a, err := f.call(0, "plain key", rillreach.HeaderIdempotencyKey, "order 66")
		require.NoError(t, err)
		assertRefused(t, a, http.StatusBadRequest, rillreach.OutcomeNotRun, rillreach.ReasonBadRequest)
	})
	t.Run("a key with a future timestamp is answered as unknown", func(t *testing.T) {
		a, err := f.call(0, "future", rillreach.HeaderIdempotencyKey, "7f8f3c2e-7b5a-7cc1-8a1e-3c5d7f9b1a2b")
		require.NoError(t, err)
		assertRefused(t, a, http.StatusServiceUnavailable, rillreach.OutcomeUnknown, rillreach.ReasonStaleView)
	})
	t.Run("agents join and leave while keys are sent concurrently", func(t *testing.T) {
		for round := range 6 {
			body := "change " + string(rune('a'+round))
			if round == 1 {
				f.startAgent(append([]string{"--backend", "http://" + f.services[1].address("standin"), "--side", "old", "--service", "receipts"}, fastOwnershipArgs...)...)
			}
			if round == 3 {
				f.agents[0].signal(syscall.SIGTERM)
			}
			f.sendConcurrently(body, rillreach.HeaderIdempotencyKey, newIdempotencyKey(t))
			assert.LessOrEqual(t, f.runCount(body), 1, body)
		}
	})
}

func TestOwnerFailures(t *testing.T) {
	t.Run("killed before the call runs", func(t *testing.T) {
		f := newOnceFleet(t, "0s")
		ticket := f.issueTicket()
		f.agents[0].kill()
		f.agents[1].kill()
		a, err := f.call(0, "before", rillreach.HeaderTicket, ticket)
		require.NoError(t, err)
		assert.Equal(t, string(rillreach.OutcomeUnknown), a.header.Get(rillreach.HeaderOutcome), a.body)
		assert.Zero(t, f.runCount("before"))
	})
	t.Run("killed while the call runs", func(t *testing.T) {
		f := newOnceFleet(t, "1s")
		ticket := f.issueTicket()
		answers := make(chan answer, 1)
		go func() {
			a, _ := f.call(0, "while", rillreach.HeaderTicket, ticket)
			answers <- a
		}()
		eventually(t, func() bool { return f.runCount("while") == 1 }, "service runs")
		f.agents[0].kill()
		f.agents[1].kill()
		a := <-answers
		assert.Equal(t, string(rillreach.OutcomeUnknown), a.header.Get(rillreach.HeaderOutcome), a.body)
		again, err := f.call(1, "while", rillreach.HeaderTicket, ticket)
		require.NoError(t, err)
		assert.Equal(t, string(rillreach.OutcomeUnknown), again.header.Get(rillreach.HeaderOutcome), again.body)
		assert.Equal(t, 1, f.runCount("while"))
	})
	t.Run("killed while a non-repeatable call without a ticket runs", func(t *testing.T) {
		f := newOnceFleet(t, "1s")
		answers := make(chan answer, 1)
		go func() {
			a, _ := f.call(0, "marked", rillreach.HeaderRepeat, rillreach.RepeatNever)
			answers <- a
		}()
		eventually(t, func() bool { return f.runCount("marked") == 1 }, "service runs")
		for i, s := range f.services {
			var runs map[string]int
			getJSON(t, "http://"+s.address("standin")+"/runs", &runs)
			if runs["marked"] > 0 {
				f.agents[i].kill()
			}
		}
		a := <-answers
		assert.Equal(t, string(rillreach.OutcomeUnknown), a.header.Get(rillreach.HeaderOutcome), a.body)
		assert.Equal(t, 1, f.runCount("marked"))
	})
	t.Run("suspended past the deadline and resumed", func(t *testing.T) {
		f := newOnceFleet(t, "0s")
		ticket := f.issueTicket()
		for _, agent := range f.agents {
			agent.signal(syscall.SIGSTOP)
		}
		a, err := f.call(0, "frozen", rillreach.HeaderTicket, ticket, rillreach.HeaderDeadline, "1s")
		require.NoError(t, err)
		assert.Equal(t, string(rillreach.OutcomeUnknown), a.header.Get(rillreach.HeaderOutcome), a.body)
		time.Sleep(time.Second) // the agents must stay suspended until the deadline has passed
		for _, agent := range f.agents {
			agent.signal(syscall.SIGCONT)
		}
		awaitStatus(t, http.StatusOK, func() (answer, error) { return f.call(0, "after", rillreach.HeaderTicket, f.issueTicket()) })
		assert.Zero(t, f.runCount("frozen"))
	})
	t.Run("the answer is lost between entry and caller", func(t *testing.T) {
		f := newOnceFleet(t, "500ms")
		ticket := f.issueTicket()
		lost := make(chan error, 1)
		go func() {
			_, err := f.call(0, "lost", rillreach.HeaderTicket, ticket)
			lost <- err
		}()
		eventually(t, func() bool { return f.runCount("lost") == 1 }, "service runs")
		f.entry[0].kill()
		require.Error(t, <-lost)
		a, err := f.call(1, "lost", rillreach.HeaderTicket, ticket)
		require.NoError(t, err)
		assert.Equal(t, `/issue ran "lost" time 1`, a.body)
		assert.Equal(t, 1, f.runCount("lost"))
	})
	t.Run("replaced by a new incarnation after the call ran", func(t *testing.T) {
		f := newOnceFleet(t, "0s")
		ticket := f.issueTicket()
		a, err := f.call(0, "replaced", rillreach.HeaderTicket, ticket)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.status, a.body)
		for i, agent := range f.agents {
			address := agent.address("peers")
			id := agent.instance()
			agent.kill()
			args := []string{"--instance", id, "--peer-listen", address, "--backend", "http://" + f.services[i].address("standin"), "--side", "old", "--service", "receipts"}
			f.agents[i] = f.startAgent(append(args, fastOwnershipArgs...)...)
		}
		awaitStatus(t, http.StatusOK, func() (answer, error) { return f.call(1, "after", rillreach.HeaderTicket, f.issueTicket()) })
		a, err = f.call(1, "replaced", rillreach.HeaderTicket, ticket)
		require.NoError(t, err)
		assertRefused(t, a, http.StatusBadGateway, rillreach.OutcomeUnknown, rillreach.ReasonOwnerGone)
		assert.Equal(t, 1, f.runCount("replaced"))
	})
	t.Run("two processes run under one instance ID", func(t *testing.T) {
		f := newOnceFleet(t, "0s")
		args := []string{"--instance", "slot", "--backend", "http://" + f.services[0].address("standin"), "--side", "old", "--service", "receipts"}
		first := f.startAgent(append(args, fastOwnershipArgs...)...)
		first.address("peers")
		second := f.startAgent(append(args, fastOwnershipArgs...)...)
		second.address("peers")
		for range 10 {
			key := newIdempotencyKey(t)
			f.sendConcurrently("slot "+key, rillreach.HeaderIdempotencyKey, key)
			assert.LessOrEqual(t, f.runCount("slot "+key), 1)
		}
	})
}

// TestAgentShutdownAnswersEveryKey guards against keys that are lost when an agent that owns some of them shuts down.
// Calls with new keys arrive during the shutdown; each must be answered and run exactly once.
func TestAgentShutdownAnswersEveryKey(t *testing.T) {
	f := newOnceFleet(t, "0s")
	for i := range f.entryURLs {
		awaitStatus(t, http.StatusOK, func() (answer, error) {
			return f.call(i, "warm up", rillreach.HeaderIdempotencyKey, newIdempotencyKey(t))
		})
	}
	awaitKeyOwners(t, f, 2)
	stopped := make(chan struct{})
	f.agents[0].signal(syscall.SIGTERM)
	go func() {
		<-f.agents[0].exited
		close(stopped)
	}()
	for calls := 0; ; calls++ {
		body := "during the stop " + strconv.Itoa(calls)
		a, err := f.call(calls%2, body, rillreach.HeaderIdempotencyKey, newIdempotencyKey(t))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.Equal(t, 1, f.runCount(body))
		select {
		case <-stopped:
			require.Greater(t, calls, 10)
			return
		default:
		}
	}
}

// awaitKeyOwners waits until keys are owned by the given number of agents.
func awaitKeyOwners(t *testing.T, f *onceFleet, count int) {
	t.Helper()
	eventually(t, func() bool {
		owners := 0
		for _, s := range f.services {
			var runs map[string]int
			getJSON(t, "http://"+s.address("standin")+"/runs", &runs)
			for body := range runs {
				if strings.HasPrefix(body, "probe ") {
					owners++
					break
				}
			}
		}
		_, err := f.call(0, "probe "+newIdempotencyKey(t), rillreach.HeaderIdempotencyKey, newIdempotencyKey(t))
		return err == nil && owners == count
	}, "keys are distributed over the agents")
}
