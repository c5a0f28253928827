package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clockTicks is the number of ticks per second in which the kernel counts CPU time.
const clockTicks = 100

// cpuTime returns the CPU time that the process has used.
func (p *process) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentKB returns the resident memory of the process in KB.
func (p *process) residentKB(b *testing.B) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(b, err)
	scanner := bufio.NewScanner(strings.NewReader(string(data)))
	for scanner.Scan() {
		if rest, ok := strings.CutPrefix(scanner.Text(), "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(b, err)
			return float64(kilobytes)
		}
	}
	require.FailNow(b, "no VmRSS in the status of the process")
	return 0
}

// BenchmarkProcesses measures an entry and its agents as separate processes, for several numbers of agents: the CPU
// time for a prompt with a streamed answer of 20 tokens, and the CPU time and memory of idle processes.
func BenchmarkProcesses(b *testing.B) {
	for _, agents := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newBenchFleet(b)
			engine := start(b, "standin", "engine", "--engine-version", "v1", "--engine-token-time", "0s", "--engine-prefill", "100000000")
			var list []*process
			for range agents {
				list = append(list, f.startAgent("--backend", "http://"+engine.address("standin"), "--side", "old", "--model", "m",
					"--model-version", "v1", "--log-level", "info"))
			}
			key := f.createAccount("kigali", oldSideRow("m"))
			entry := f.entry()
			url := "http://" + entry.address("callers") + chatPath
			request := func(i int) error {
				body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"prompt %d"}]}`, i)
				a, err := trySend(http.MethodPost, url, key, body)
				if err == nil && a.status != http.StatusOK {
					return fmt.Errorf("status %d: %s", a.status, a.body)
				}
				return err
			}
			require.Eventually(b, func() bool { return request(0) == nil }, waitTimeout, 20*time.Millisecond)
			sendLoad(b, 1000, request)
			const requests = 4000
			entryBefore, agentBefore := entry.cpuTime(b), totalCPUTime(b, list)
			for b.Loop() {
				sendLoad(b, requests, request)
			}
			sent := float64(requests * b.N)
			b.ReportMetric(float64((entry.cpuTime(b)-entryBefore).Microseconds())/sent, "entry-us/request")
			b.ReportMetric(float64((totalCPUTime(b, list)-agentBefore).Microseconds())/sent, "agent-us/request")
			b.ReportMetric(entry.residentKB(b), "entry-KB")
			b.ReportMetric(list[0].residentKB(b), "agent-KB")
			const idle = 5 * time.Second
			entryBefore, agentBefore = entry.cpuTime(b), totalCPUTime(b, list)
			time.Sleep(idle)
			b.ReportMetric(float64(entry.cpuTime(b)-entryBefore)/float64(idle)*100, "entry-rest-%core")
			b.ReportMetric(float64(totalCPUTime(b, list)-agentBefore)/float64(idle)*100/float64(agents), "agent-rest-%core")
		})
	}
}

func totalCPUTime(b *testing.B, list []*process) time.Duration {
	b.Helper()
	var sum time.Duration
	for _, p := range list {
		sum += p.cpuTime(b)
	}
	return sum
}

// BenchmarkTokens measures the CPU time of entry and agent for answers of several lengths. Tokens are 5 ms apart, so
// that each is sent separately.
func BenchmarkTokens(b *testing.B) {
	for _, tokens := range []int{20, 100, 400} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := newBenchFleet(b)
			engine := start(b, "standin", "engine", "--engine-version", "v1", "--engine-token-time", "5ms", "--engine-prefill", "100000000")
			agent := f.startAgent("--backend", "http://"+engine.address("standin"), "--side", "old", "--model", "m", "--model-version", "v1", "--slots", "1000")
			key := f.createAccount("kigali", oldSideRow("m"))
			entry := f.entry()
			url := "http://" + entry.address("callers") + chatPath
			request := func(i int) error {
				a, err := trySend(http.MethodPost, url, key,
					fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d"}]}`, tokens, i))
				if err == nil && a.status != http.StatusOK {
					return fmt.Errorf("status %d: %s", a.status, a.body)
				}
				return err
			}
			require.Eventually(b, func() bool { return request(0) == nil }, waitTimeout, 20*time.Millisecond)
			const requests = 256
			entryBefore, agentBefore := entry.cpuTime(b), agent.cpuTime(b)
			for b.Loop() {
				sendLoad(b, requests, request)
			}
			sent := float64(requests * b.N)
			b.ReportMetric(float64((entry.cpuTime(b)-entryBefore).Microseconds())/sent, "entry-us/request")
			b.ReportMetric(float64((agent.cpuTime(b)-agentBefore).Microseconds())/sent, "agent-us/request")
		})
	}
}

// sendLoad sends count requests from 64 concurrent callers.
func sendLoad(b *testing.B, count int, request func(int) error) {
	b.Helper()
	const callers = 64
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := c; i < count; i += callers {
				if err := request(i); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
}

func newBenchFleet(b *testing.B) *testFleet {
	b.Helper()
	p := start(b, "standin", "platform")
	return &testFleet{t: b, platform: "http://" + p.address("standin"), digestInterval: "2s"}
}

// BenchmarkIdleStreams measures the memory of entry and agent for open streams that carry no events.
func BenchmarkIdleStreams(b *testing.B) {
	for _, streams := range []int{500, 1000, 2000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			f := newBenchFleet(b)
			engine := start(b, "standin", "engine", "--engine-version", "v1", "--engine-token-time", "1h")
			agent := f.startAgent("--backend", "http://"+engine.address("standin"), "--side", "old", "--model", "m", "--model-version", "v1", "--slots", "100000")
			key := f.createAccount("kigali", oldSideRow("m"))
			entry := f.entry()
			url := "http://" + entry.address("callers") + chatPath
			require.Eventually(b, func() bool {
				a, err := trySend(http.MethodPost, url, key, `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"x"}],"stream":true}`)
				return err == nil && a.status == http.StatusOK
			}, waitTimeout, 20*time.Millisecond)
			entryBefore, agentBefore := entry.residentKB(b), agent.residentKB(b)
			opened := 0
			for b.Loop() {
				for range streams {
					resp := openStream(b, url, key, `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}],"stream":true}`)
					b.Cleanup(func() { _ = resp.Body.Close() })
					opened++
				}
			}
			b.ReportMetric((entry.residentKB(b)-entryBefore)/float64(opened), "entry-KB/stream")
			b.ReportMetric((agent.residentKB(b)-agentBefore)/float64(opened), "agent-KB/stream")
		})
	}
}
