package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

// processSlot holds a process of the fleet that faults kill, suspend and replace.
type processSlot struct {
	mu      sync.Mutex
	process *process
	args    []string
}

// address returns the address that the process listens on. If a fault kills the process before it listens, the fault
// also replaces it, so address waits for the new one. Any other problem fails the test.
func (s *processSlot) address(listener string) string {
	for deadline := time.Now().Add(waitTimeout); ; {
		p := s.current()
		address, problem := p.awaitAddress(listener)
		switch {
		case problem == "":
			return address
		case problem != problemExited || time.Now().After(deadline):
			require.FailNow(p.t, problem, p.logText())
		}
		time.Sleep(pollInterval)
	}
}

func (s *processSlot) current() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// mixedFleet is a fleet into which faults are injected.
type mixedFleet struct {
	*testFleet
	entries  []*processSlot
	agents   []*processSlot
	stores   []*processSlot
	services []*process
	keys     map[string]string
}

func newMixedFleet(t *testing.T) *mixedFleet {
	t.Helper()
	f := &mixedFleet{testFleet: newFleet(t), keys: map[string]string{}}
	for i, side := range []rillreach.Side{rillreach.SideOld, rillreach.SideNew} {
		f.stores = append(f.stores, f.startSlot("standin", "store", "--platform", f.platform, "--side", string(side)))
		for j := range 2 {
			e := start(t, "standin", "engine", "--engine-version", "v1", "--engine-token-time", "1ms")
			name := fmt.Sprintf("runner-%d-%d", i, j)
			f.agents = append(f.agents, f.startSlot(f.agentArgs(name, "http://"+e.address("standin"), side, "--model", "m", "--model-version", "v1")...))
		}
		e := start(t, "standin", "engine", "--engine-version", "v2", "--engine-token-time", "1ms")
		f.agents = append(f.agents, f.startSlot(f.agentArgs(fmt.Sprintf("next-%d", i), "http://"+e.address("standin"), side, "--model", "m", "--model-version", "v2")...))
		s := start(t, "standin", "service")
		f.services = append(f.services, s)
		f.agents = append(f.agents, f.startSlot(f.agentArgs(fmt.Sprintf("service-%d", i), "http://"+s.address("standin"), side, "--service", "receipts")...))
	}
	for i := range 2 {
		args := append([]string{"entry", "--listen", "127.0.0.1:0", "--instance", fmt.Sprintf("entry-%d", i), "--ack-timeout", "500ms"}, f.nodeArgs(fastOwnershipArgs...)...)
		f.entries = append(f.entries, f.startSlot(args...))
	}
	for _, account := range []string{"kigali", "oja", "small"} {
		f.keys[account] = f.createAccount(account, f.accountRows(account, 50)...)
	}
	return f
}

func (f *mixedFleet) accountRows(_ string, toNew int) []rillreach.Row {
	w := rillreach.Weights{Old: 100 - toNew, New: toNew}
	return []rillreach.Row{
		{Model: "m", Version: "v1", Weights: w},
		{Model: "m", Version: "v2", Weights: w},
		{Model: "receipts", Version: "v1", Weights: w},
	}
}

func (f *mixedFleet) agentArgs(name, backend string, side rillreach.Side, more ...string) []string {
	args := append([]string{"agent", "--instance", name, "--backend", backend, "--side", string(side)}, more...)
	return append(args, f.nodeArgs(fastOwnershipArgs...)...)
}

func (f *mixedFleet) startSlot(args ...string) *processSlot {
	return &processSlot{process: start(f.t, args...), args: args}
}

// replace starts a new process in a slot whose process has exited.
func (f *mixedFleet) replace(s *processSlot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process = start(f.t, s.args...)
}

// fault is one kind of fault. inject returns after the fault has been repaired.
type fault struct {
	name   string
	inject func()
}

func randomSlot(random *rand.Rand, slots []*processSlot) *processSlot {
	return slots[random.IntN(len(slots))]
}

// agentFaults returns the faults that affect agents.
func (f *mixedFleet) agentFaults(random *rand.Rand) []fault {
	return []fault{
		{"agent killed", func() { s := randomSlot(random, f.agents); s.process.kill(); f.replace(s) }},
		{"agent stopped", func() {
			s := randomSlot(random, f.agents)
			s.process.signal(syscall.SIGTERM)
			<-s.process.exited
			f.replace(s)
		}},
		{"agent frozen", func() {
			s := randomSlot(random, f.agents)
			s.process.signal(syscall.SIGSTOP)
			time.Sleep(time.Second)
			s.process.signal(syscall.SIGCONT)
		}},
	}
}

// otherFaults returns the faults that affect entries, stores, the platform and the weights.
func (f *mixedFleet) otherFaults(random *rand.Rand) []fault {
	platform := func(faults string, duration time.Duration) func() {
		return func() { f.setFaults(faults); time.Sleep(duration); f.setFaults(`{}`) }
	}
	return []fault{
		{"entry killed", func() { s := randomSlot(random, f.entries); s.process.kill(); f.replace(s) }},
		{"store killed", func() { s := randomSlot(random, f.stores); s.process.kill(); f.replace(s) }},
		{"platform down", platform(`{"down":true}`, time.Second)},
		{"platform slow", platform(`{"delay":300000000}`, time.Second)},
		{"platform loses answers", platform(`{"loseAnswers":true}`, time.Second/2)},
		{"weights shifted", func() { f.shiftConcurrently(random) }},
	}
}

// injectFaults injects random faults one after another until stop is closed, and counts them by name.
func injectFaults(random *rand.Rand, faults []fault, stop <-chan struct{}) map[string]int {
	counts := map[string]int{}
	for {
		next := faults[random.IntN(len(faults))]
		select {
		case <-stop:
			return counts
		case <-time.After(200 * time.Millisecond):
			next.inject()
			counts[next.name]++
		}
	}
}

// shiftConcurrently has two operators edit the same rows at once. One of the edits may be rejected.
func (f *mixedFleet) shiftConcurrently(random *rand.Rand) {
	var wg sync.WaitGroup
	for range 2 {
		toNew := 10 + random.IntN(81)
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.shiftAllWeights(toNew)
		}()
	}
	wg.Wait()
}

func (f *mixedFleet) shiftAllWeights(toNew int) {
	for account := range f.keys {
		for _, model := range []string{"m", "receipts"} {
			_, _, _ = runCommand(f.t, "", "table", "set", "--platform", f.platform, account+"/"+model+"/v1", "--new", fmt.Sprint(toNew))
		}
	}
}

// entryURL returns the URL of an entry, chosen by i, once that entry listens.
func (f *mixedFleet) entryURL(i int) string {
	return "http://" + f.entries[i%len(f.entries)].address("callers")
}
