package path

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/demo"
)

// caller sends prompts to an engine directly or through an entry.
type caller struct {
	client *http.Client
	key    string
}

func newCaller(key string) *caller {
	return &caller{key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20000, MaxIdleConns: 20000}}}
}

// open sends a prompt and returns the response, which the caller has to close.
func (c *caller) open(url, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.client.Do(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	return resp, err
}

// timeFirstEvent sends a prompt and reads the stream to its end. It returns the time to the first event and the number
// of events.
func (c *caller) timeFirstEvent(tb testing.TB, url, body string) (time.Duration, int) {
	tb.Helper()
	start := time.Now()
	resp, err := c.open(url, body)
	if err != nil {
		tb.Error(err)
		return 0, 0
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		tb.Error(err)
		return 0, 0
	}
	took := time.Since(start)
	events := 1
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return took, events
		}
		if strings.HasPrefix(line, "data:") {
			events++
		}
	}
}

func requestBody(i, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d"}]}`, demo.Model, tokens, i)
}

// startFleet starts a fleet with one entry and one runner, and returns it with a caller that has a valid API key.
func startFleet(tb testing.TB, tokenTime time.Duration) (*demo.Fleet, *caller) {
	tb.Helper()
	f := &demo.Fleet{Entries: 1, Runners: 1, TokenInterval: tokenTime, PrefillRate: 1e9, Slots: 100_000, Log: logr.Discard()}
	tb.Cleanup(f.Stop)
	require.NoError(tb, f.Start(context.Background()))
	key, credential, err := rillreach.NewAPIKey("bench")
	require.NoError(tb, err)
	_, err = f.Editor.Write(context.Background(), rillreach.Row{
		Format: rillreach.RowFormat, Account: "bench", Model: demo.Model, Version: demo.Version,
		Weights: rillreach.Weights{Old: 100}, Objective: rillreach.ObjectiveFirstToken,
		Credentials: []rillreach.Credential{credential},
	}, 0)
	require.NoError(tb, err)
	require.NoError(tb, f.WaitReady(context.Background(), key))
	return f, newCaller(key)
}

// BenchmarkFirstToken compares the time to first token through entry and agent with that of direct calls to the
// engine. The two alternate, with 200 concurrent streams.
func BenchmarkFirstToken(b *testing.B) {
	const streams, outputTokens = 200, 20
	f, c := startFleet(b, 20*time.Millisecond)
	direct, routed := hdrhistogram.New(1, 1e8, 3), hdrhistogram.New(1, 1e8, 3)
	var mu sync.Mutex
	run := func(url string, histogram *hdrhistogram.Histogram, count int) {
		var wg sync.WaitGroup
		for worker := range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(worker) * 2 * time.Millisecond)
				for i := range count {
					took, _ := c.timeFirstEvent(b, url, requestBody(worker*1000+i, outputTokens))
					mu.Lock()
					_ = histogram.RecordValue(took.Microseconds())
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
	}
	run(f.EngineURLs[0], hdrhistogram.New(1, 1e8, 3), 1)
	run(f.URLs[0], hdrhistogram.New(1, 1e8, 3), 1)
	for b.Loop() {
		run(f.EngineURLs[0], direct, 5)
		run(f.URLs[0], routed, 5)
	}
	quantileMillis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	b.ReportMetric(quantileMillis(direct, 50), "ms-direct-p50")
	b.ReportMetric(quantileMillis(routed, 50), "ms-through-p50")
	b.ReportMetric(quantileMillis(direct, 99), "ms-direct-p99")
	b.ReportMetric(quantileMillis(routed, 99), "ms-through-p99")
}

// BenchmarkFrames measures the throughput of streams through entry and agent in events per second. Engine, agent,
// entry and callers share the processors.
func BenchmarkFrames(b *testing.B) {
	const streams, outputTokens = 64, 2000
	f, c := startFleet(b, 0)
	events := 0
	var mu sync.Mutex
	start := time.Now()
	for b.Loop() {
		var wg sync.WaitGroup
		for i := range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, count := c.timeFirstEvent(b, f.URLs[0], requestBody(i, outputTokens))
				mu.Lock()
				events += count
				mu.Unlock()
			}()
		}
		wg.Wait()
	}
	b.ReportMetric(float64(events)/time.Since(start).Seconds(), "events/s")
}

// BenchmarkIdleStreams measures the memory per idle stream for engine, agent, entry and caller together, which all run
// in this process.
func BenchmarkIdleStreams(b *testing.B) {
	for _, streams := range []int{500, 1000, 2000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			f, c := startFleet(b, time.Hour)
			before := memoryInUse()
			var responses []*http.Response
			for b.Loop() {
				for i := range streams {
					resp, err := c.open(f.URLs[0], requestBody(i, 2))
					require.NoError(b, err)
					responses = append(responses, resp)
				}
			}
			b.ReportMetric(float64(memoryInUse()-before)/float64(len(responses)), "bytes/stream-all-parts")
			for _, r := range responses {
				_ = r.Body.Close()
			}
		})
	}
}

// memoryInUse returns the memory in use for the heap and goroutine stacks after garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
