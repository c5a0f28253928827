package e2e

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

func TestRateLimitAcrossTwoEntries(t *testing.T) {
	const rate, seconds = 20.0, 4
	f := newFleet(t)
	f.startService(rillreach.SideOld, "catalogue")
	limited := oldSideRow("catalogue")
	limited.Limits.RequestsPerSecond = rate
	key := f.createAccount("kigali", limited)
	urls := []string{"http://" + f.entry().address("callers"), "http://" + f.entry().address("callers")}
	request := func(url string) func() (answer, error) {
		return func() (answer, error) { return trySend(http.MethodGet, url+"/services/catalogue/prices", key, "") }
	}
	for _, url := range urls {
		awaitStatus(t, http.StatusOK, request(url))
	}
	var admitted, rejected atomic.Int64
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(begin) < seconds*time.Second {
				a, err := request(urls[i%2])()
				switch {
				case err == nil && a.status == http.StatusOK:
					admitted.Add(1)
				case err == nil && a.status == http.StatusTooManyRequests:
					assert.NotEmpty(t, a.header.Get("Retry-After"))
					rejected.Add(1)
				default:
					assert.Fail(t, "unexpected answer", "%v %v", a, err)
				}
			}
		}()
	}
	wg.Wait()
	took := time.Since(begin).Seconds()
	assert.LessOrEqual(t, float64(admitted.Load()), rate*(took+1)+float64(len(urls)), "admitted requests")
	assert.Positive(t, admitted.Load())
	assert.Positive(t, rejected.Load())
}
