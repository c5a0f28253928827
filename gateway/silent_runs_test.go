package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// These tests guard against requests that take down the machines of their runners without a word: connections fall silent,
// and the runner may be back as a later run by the time that the request is given up.

// machine is a machine with a runner, which is reached by a link.
type machine struct {
	runner *site.Runner
	link   *site.Link

	mu   sync.Mutex
	born int64
	down bool
}

// machines are the machines of a world.
type machines struct {
	world *world
	// second is a second entry, which has no agents to share what it knows with the first one.
	second *world
	all    []*machine
	// downTime is how long a machine is down that a fatal request takes down. Zero means for good.
	downTime time.Duration
	// beforeDown is how long a fatal request runs before that, and begin is written to the caller first.
	beforeDown time.Duration
	begin      bool
	// soundTime is how long other requests run.
	soundTime time.Duration
	crashed   crashLog
}

// startMachines starts an entry before machines with runners.
func startMachines(t *testing.T, m *machines, n int) {
	t.Helper()
	config := defaultConfig()
	config["services"] = []jsonMap{{"name": "plain", "max_connections": 100, "health_check": site.HealthPath}}
	for _, r := range config["routes"].([]jsonMap) {
		r["timeout_ms"] = 1000
	}
	store := site.NewStore()
	store.Put("config", "main", config)
	for i := range n {
		one := &machine{runner: &site.Runner{ID: fmt.Sprint("r", i)}, born: time.Now().UnixMilli()}
		one.runner.Handle = func(w http.ResponseWriter, req *http.Request) { m.serve(one, w, req) }
		one.runner.Start()
		t.Cleanup(one.runner.Stop)
		link, err := site.NewLink(one.runner.Address())
		require.NoError(t, err)
		t.Cleanup(link.Close)
		one.link = link
		store.Put("servers", one.runner.ID, one.record())
		m.all = append(m.all, one)
	}
	m.world, m.second = startWithWeightsBound(t, store, weightsBound), startWithWeightsBound(t, store, weightsBound)
	for _, w := range []*world{m.world, m.second} {
		t.Cleanup(w.stop)
		w.awaitReady(t)
	}
}

func (m *machine) record() jsonMap {
	m.mu.Lock()
	defer m.mu.Unlock()
	record := runnerRecordAt(m.link.Address().String(), "ready")
	record["born"] = m.born
	return record
}

// serve runs a request. A fatal one takes the machine down.
func (m *machines) serve(one *machine, w http.ResponseWriter, req *http.Request) {
	if !strings.Contains(req.RequestURI, fatalPath) && !strings.Contains(req.Header.Get("X-Rillreach-Prompt-Prefix"), fatalPart) {
		time.Sleep(m.soundTime)
		site.WriteResponse(w, req, "sound")
		return
	}
	m.crashed.add()
	if m.begin {
		writeBegin(w, req)
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(m.beforeDown)
	m.takeDown(one)
	<-req.Context().Done()
}

// takeDown takes a machine down without a word. When it is back, its runner is a later run.
func (m *machines) takeDown(one *machine) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.down {
		return
	}
	one.down = true
	_ = one.link.Silence()
	if m.downTime == 0 {
		time.AfterFunc(recordLifetime, func() { m.world.store.Remove("servers", one.runner.ID) })
		return
	}
	time.AfterFunc(m.downTime, func() {
		one.mu.Lock()
		one.down, one.born = false, time.Now().UnixMilli()
		_ = one.link.Restore(true)
		one.mu.Unlock()
		time.Sleep(recordDelay)
		m.world.store.Put("servers", one.runner.ID, one.record())
	})
}

const (
	// recordDelay is the time from the start of a runner until its record says so.
	recordDelay = 600 * time.Millisecond
	// recordLifetime is the time after which the record of a runner lapses that no longer writes it.
	recordLifetime = 1500 * time.Millisecond
	// repeatPause is the time from the answer to a fatal request until it comes again.
	repeatPause = 300 * time.Millisecond
)

// repeatFatal sends the fatal request again and again to the entries, and sound requests beside it. It returns the statuses of
// the latter.
func (m *machines) repeatFatal(t *testing.T, path string, entries ...*world) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	until := time.Now().Add(fatalTime)
	var wg sync.WaitGroup
	for _, w := range entries {
		wg.Go(func() {
			for time.Now().Before(until) {
				w.send(t, "GET", path+fatalPath, "")
				time.Sleep(repeatPause)
			}
		})
	}
	wg.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			statuses[m.world.send(t, "GET", fmt.Sprintf("/repeat/sound%d", i), "").status]++
			time.Sleep(20 * time.Millisecond)
		}
	})
	wg.Wait()
	return statuses
}

// fatalTime is how long the fatal request comes again and again.
const fatalTime = 12 * time.Second

// Guards against a request that is never quarantined because its runners go down without a word.
func TestSilentCrashesAreNotCounted(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		downTime   time.Duration
		beforeDown time.Duration
		begin      bool
		n          int
	}{
		{name: "machines that are back soon", downTime: time.Second, n: 4},
		{name: "machines that are away for long", downTime: 6 * time.Second, n: 12},
		{name: "machines that are lost for good", n: 12},
		{name: "machines that go down later", downTime: time.Second, beforeDown: 300 * time.Millisecond, n: 4},
		{name: "machines that have begun to answer", downTime: time.Second, begin: true, n: 4},
	} {
		for _, path := range []string{"/repeat/", "/flow/"} {
			t.Run(c.name+" on "+path, func(t *testing.T) {
				t.Parallel()
				m := &machines{downTime: c.downTime, beforeDown: c.beforeDown, begin: c.begin}
				startMachines(t, m, c.n)
				statuses := m.repeatFatal(t, path, m.world)
				assert.LessOrEqual(t, m.crashed.countLate(), maxLateCrashes, "%d crashed in total", len(m.crashed.times()))
				assert.Positive(t, statuses[http.StatusOK])
				assert.Equal(t, http.StatusBadGateway, m.world.send(t, "GET", path+fatalPath, "").status)
			})
		}
	}
	t.Run("at two entries", func(t *testing.T) {
		t.Parallel()
		m := &machines{downTime: time.Second}
		startMachines(t, m, 6)
		m.repeatFatal(t, "/repeat/", m.world, m.second)
		assert.LessOrEqual(t, m.crashed.countLate(), maxLateCrashes, "%d crashed in total", len(m.crashed.times()))
	})
}

// Guards against a part of prompts that is never quarantined because the machines of its runners go down without a word.
func TestSilentCrashesOfPartAreNotCounted(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/", "/flow/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			m := &machines{downTime: time.Second}
			startMachines(t, m, 12)
			var wg sync.WaitGroup
			defer wg.Wait()
			until := time.Now().Add(fatalTime)
			for number := 0; time.Now().Before(until); number++ {
				for _, parts := range [][]string{{openingPart, fatalPart}, {openingPart}} {
					wg.Go(func() {
						m.world.send(t, "POST", fmt.Sprint(path, number), fmt.Sprint(parts, number), promptHeader(number, parts...)...)
					})
				}
				time.Sleep(repeatPause)
			}
			assert.LessOrEqual(t, m.crashed.countLateAfter(maxPartCrashes), maxLateCrashes, "%d crashed in total", len(m.crashed.times()))
			got := m.world.send(t, "POST", path+"last", "last", promptHeader(0, openingPart, fatalPart)...)
			assert.Equal(t, http.StatusBadGateway, got.status)
			m.world.eventually(t, func() bool {
				return m.world.send(t, "POST", path+"sound", "sound", promptHeader(0, openingPart)...).status == http.StatusOK
			})
		})
	}
}

// Guards against sound requests that are held back because machines fail under them that go down, or are cut off, for another
// reason.
func TestSoundRequestsHeldBackForSilence(t *testing.T) {
	t.Parallel()
	const n = 6
	half := []int{0, 2, 4}
	for name, disturb := range map[string]func(m *machines, round int){
		"machines go down one after the other":    func(m *machines, round int) { m.takeDown(m.all[round%n]) },
		"half of the machines go down at once":    func(m *machines, _ int) { m.forEach(half, m.takeDown) },
		"links are cut one after the other":       func(m *machines, round int) { m.cut(m.all[round%n]) },
		"half of the links are cut at once":       func(m *machines, _ int) { m.forEach(half, m.cut) },
		"machines go down while others are cut":   func(m *machines, round int) { m.takeDown(m.all[round%n]); m.cut(m.all[(round+3)%n]) },
		"machines go down again and again, early": func(m *machines, round int) { m.takeDown(m.all[round%2]) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &machines{downTime: time.Second, soundTime: 50 * time.Millisecond}
			startMachines(t, m, n)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for caller := range 12 {
				path := []string{"/repeat/", "/once/"}[caller%2]
				wg.Go(func() { m.repeatSound(t, fmt.Sprintf("%ssound%d", path, caller), stop) })
			}
			for round := range 7 {
				disturb(m, round)
				time.Sleep(1500 * time.Millisecond)
			}
			close(stop)
			wg.Wait()
			m.world.eventually(t, func() bool { return m.world.gateway.suspectCount() == 0 })
		})
	}
}

// repeatSound sends a sound request again and again, and checks that it is served at the end.
func (m *machines) repeatSound(t *testing.T, path string, stop <-chan struct{}) {
	t.Helper()
	for {
		got := m.world.send(t, "GET", path, "")
		assert.NotContains(t, got.body, verdictCrashesRunners)
		select {
		case <-stop:
			m.world.eventually(t, func() bool { return m.world.send(t, "GET", path, "").status == http.StatusOK })
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (m *machines) forEach(numbers []int, fn func(*machine)) {
	for _, i := range numbers {
		fn(m.all[i])
	}
}

// cut cuts the link to a machine for a while, in which its runner goes on.
func (m *machines) cut(one *machine) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.down {
		return
	}
	one.down = true
	_ = one.link.Silence()
	time.AfterFunc(m.downTime, func() {
		one.mu.Lock()
		defer one.mu.Unlock()
		one.down = false
		_ = one.link.Restore(false)
	})
}
