package main

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// Guards against fatal requests that break off without their run having crashed by then. They look as if the entry had
// left a runner that was working.
func TestFatalRequestBreaksOffBeforeCrash(t *testing.T) {
	t.Run("the replacement of the previous run is not over", func(t *testing.T) {
		c, runner := fatalCluster(t)
		runner.replaceMu.Lock()
		ended := c.sendFatal(t, runner, "a")
		c.awaitExecutions(t, 1)
		select {
		case <-ended:
		case <-time.After(10 * workTime):
		}
		runner.replaceMu.Unlock()
		<-ended
		c.assertAllCrashed(t)
	})
	t.Run("another fatal request is about to end the run", func(t *testing.T) {
		c, runner := fatalCluster(t)
		c.mu.Lock() // delays the crash
		first, second := c.sendFatal(t, runner, "a"), c.sendFatal(t, runner, "b")
		c.awaitExecutions(t, 2)
		select {
		case <-first:
		case <-second:
		case <-time.After(10 * workTime):
		}
		c.mu.Unlock()
		<-first
		<-second
		c.assertAllCrashed(t)
	})
}

// fatalCluster returns a cluster with one plain runner and nothing else.
func fatalCluster(t *testing.T) (*cluster, *plainRunner) {
	t.Helper()
	c := &cluster{store: site.NewStore(), runnerFaults: map[string][]interval{}, report: t.Logf}
	var err error
	c.network, err = claimNetwork()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, c.network.release()) })
	require.NoError(t, c.addPlainRunner(0, "v1"))
	t.Cleanup(c.scheduled.Wait)
	return c, c.plainRunners[0]
}

// sendFatal sends a fatal request to the runner and returns a channel that is closed once it has ended.
func (c *cluster) sendFatal(t *testing.T, runner *plainRunner, name string) <-chan struct{} {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+runner.proxy.address().String()+"/"+string(kindStream)+"/"+fatalPath+name, http.NoBody)
	require.NoError(t, err)
	site.SetRequestID(req, name)
	req.Header.Set("X-Rillreach-Target-Instance", runner.id())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.Error(t, err, "the runner has answered a fatal request")
	}()
	return ended
}

// awaitExecutions waits until the given number of executions has begun.
func (c *cluster) awaitExecutions(t *testing.T, count int) {
	t.Helper()
	c.eventually(t, func(all []execution) bool { return len(all) == count })
}

// eventually waits until the recorded executions fulfil a condition.
func (c *cluster) eventually(t *testing.T, condition func(all []execution) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.events.mu.Lock()
		defer c.events.mu.Unlock()
		return condition(c.events.executions)
	}, 10*time.Second, time.Millisecond)
}

// assertAllCrashed asserts that each execution ended with a crash of its run, and that one of them caused it.
func (c *cluster) assertAllCrashed(t *testing.T) {
	t.Helper()
	c.eventually(t, func(all []execution) bool {
		return !slices.ContainsFunc(all, func(e execution) bool { return e.EndedAt.IsZero() })
	})
	c.scheduled.Wait()
	r := &observations{Executions: c.events.executions, RunnerFaults: c.runnerFaults}
	for i := range r.Executions {
		e := &r.Executions[i]
		assert.True(t, r.runnerFailed(e, &callRecord{ID: e.ID, EndedAt: e.EndedAt}), "request %s broke off though its run had not crashed", e.ID)
	}
	assert.Equal(t, 1, countKilled(r.Executions))
}
