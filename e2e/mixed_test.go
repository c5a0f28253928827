package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/standin/engine"
)

const (
	mixedRequests = 20_000
	mixedCallers  = 32
	mixedSeed     = 7
	// callerTimeout is how long a caller keeps retrying one request.
	callerTimeout = 60 * time.Second
)

// mixedReport counts the results of the requests, as seen by their callers and by the services.
type mixedReport struct {
	answered, lost, notRun, unknown, retried   atomic.Int64
	wrongAnswer, wrongAccount, wrongVersion    atomic.Int64
	ranTwice, refusedButRun, answeredButNotRun int
	causes                                     sync.Map
}

func (r *mixedReport) countFailure(a answer, err error) {
	name := "connection"
	if err == nil {
		name = a.header.Get(rillreach.HeaderOutcome) + " " + a.header.Get(rillreach.HeaderReason)
	}
	count, _ := r.causes.LoadOrStore(name, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
}

func TestMixedRequestsUnderFaults(t *testing.T) {
	f := newMixedFleet(t)
	for i := range f.entries {
		awaitStatus(t, http.StatusOK, func() (answer, error) { return f.sendChat(i, "kigali", "m@v1", "warm up", false) })
		awaitStatus(t, http.StatusOK, func() (answer, error) {
			return trySend(http.MethodPost, f.entryURL(i)+"/services/receipts/x", f.keys["kigali"], "warm up", rillreach.HeaderIdempotencyKey, newIdempotencyKey(t))
		})
	}
	var r mixedReport
	stop, faultCounts := make(chan struct{}), make(chan map[string]int, 2)
	for i, faults := range []func(*rand.Rand) []fault{f.agentFaults, f.otherFaults} {
		random := rand.New(rand.NewPCG(mixedSeed, uint64(i)))
		go func() { faultCounts <- injectFaults(random, faults(random), stop) }()
	}
	outcomes := f.sendAll(t, &r)
	close(stop)
	agentFaults, otherFaults := <-faultCounts, <-faultCounts
	f.compareWithRuns(t, &r, outcomes)
	r.logSummary(t, agentFaults, otherFaults)
	assert.Zero(t, r.lost.Load(), "lost")
	assert.Zero(t, r.ranTwice, "run twice")
	assert.Zero(t, r.wrongAnswer.Load(), "answers that are incomplete or belong to another request")
	assert.Zero(t, r.wrongAccount.Load(), "answers for another account")
	assert.Zero(t, r.wrongVersion.Load(), "answers of the wrong model version")
	assert.Zero(t, r.refusedButRun, "refused as not run, but run")
	assert.Zero(t, r.answeredButNotRun, "answered, but not run")
}

// callOutcome is the result of a call that must not run twice, as its caller saw it.
type callOutcome struct {
	body   string
	ok     bool
	notRun bool
	// attempts describes the result of each failed attempt.
	attempts []string
}

func (f *mixedFleet) sendAll(t *testing.T, r *mixedReport) []callOutcome {
	t.Helper()
	var mu sync.Mutex
	var outcomes []callOutcome
	var wg sync.WaitGroup
	for caller := range mixedCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewPCG(mixedSeed, uint64(caller)+100))
			for i := caller; i < mixedRequests; i += mixedCallers {
				if o, once := f.sendOne(random, i, r); once {
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return outcomes
}

func (f *mixedFleet) sendOne(random *rand.Rand, i int, r *mixedReport) (callOutcome, bool) {
	account := []string{"kigali", "oja", "small"}[random.IntN(3)]
	switch kind := random.IntN(10); {
	case kind < 7:
		f.sendPrompt(random, i, account, r)
		return callOutcome{}, false
	case kind < 8:
		f.sendService(i, account, r)
		return callOutcome{}, false
	default:
		return f.sendOnce(random, i, account, r), true
	}
}

// sendPrompt retries a prompt until it is answered completely, as a caller of a repeatable request would.
func (f *mixedFleet) sendPrompt(random *rand.Rand, i int, account string, r *mixedReport) {
	version := []string{"v1", "v2"}[random.IntN(2)]
	text := fmt.Sprintf("%s asks %s %d", account, longPrompt("w"), random.IntN(500))
	stream := random.IntN(2) == 0
	deadline := time.Now().Add(callerTimeout)
	for try := i; ; try++ {
		a, err := f.sendChat(try, account, "m@"+version, text, stream)
		if err == nil && a.status == http.StatusOK && (!stream || strings.HasSuffix(a.body, "data: [DONE]\n\n")) {
			r.answered.Add(1)
			f.checkAnswer(a, text, version, stream, r)
			return
		}
		if !r.shouldRetry(a, err, deadline) {
			return
		}
	}
}

// shouldRetry counts a failed attempt and reports whether the caller has time for another.
func (r *mixedReport) shouldRetry(a answer, err error, deadline time.Time) bool {
	r.countFailure(a, err)
	if time.Now().After(deadline) {
		r.lost.Add(1)
		return false
	}
	r.retried.Add(1)
	time.Sleep(50 * time.Millisecond)
	return true
}

func (f *mixedFleet) sendChat(i int, account, model, text string, stream bool) (answer, error) {
	body := strings.Replace(chatBody(text, stream), `"model":"m"`, fmt.Sprintf(`"model":%q`, model), 1)
	return trySend(http.MethodPost, f.entryURL(i)+chatPath, f.keys[account], body)
}

func (f *mixedFleet) checkAnswer(a answer, text, version string, stream bool, r *mixedReport) {
	got, err := answerText(a, stream)
	want := func(v string) string {
		return " " + strings.Join(engine.ResponseWords(v, userWord+` "`+text+`"`, answerWordCount), " ")
	}
	otherVersion := map[string]string{"v1": "v2", "v2": "v1"}[version]
	switch {
	case err == nil && got == want(version):
	case got == want(otherVersion):
		r.wrongVersion.Add(1)
	default:
		r.wrongAnswer.Add(1)
	}
}

func answerText(a answer, stream bool) (string, error) {
	if !stream {
		var parsed chatAnswer
		if err := json.Unmarshal([]byte(a.body), &parsed); err != nil {
			return "", err
		}
		return parsed.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	for _, event := range strings.Split(strings.TrimSuffix(a.body, "data: [DONE]\n\n"), "\n\n") {
		var parsed chatAnswer
		if event == "" {
			continue
		}
		if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &parsed); err != nil {
			return "", err
		}
		text.WriteString(parsed.Choices[0].Delta.Content)
	}
	return text.String(), nil
}

func (f *mixedFleet) sendService(i int, account string, r *mixedReport) {
	deadline := time.Now().Add(callerTimeout)
	body := fmt.Sprintf("price %d", i)
	for try := i; ; try++ {
		a, err := trySend(http.MethodPost, f.entryURL(try)+"/services/receipts/price", f.keys[account], body)
		if err == nil && a.status == http.StatusOK {
			r.answered.Add(1)
			if !strings.Contains(a.body, body+`"`) {
				r.wrongAnswer.Add(1)
			}
			return
		}
		if !r.shouldRetry(a, err, deadline) {
			return
		}
	}
}

// sendOnce sends a call that must not run twice, with an idempotency key or a ticket. It retries with the same key or
// ticket until the call is answered or its outcome is final.
func (f *mixedFleet) sendOnce(random *rand.Rand, i int, account string, r *mixedReport) callOutcome {
	o := callOutcome{body: fmt.Sprintf("once %d", i)}
	header, identity := rillreach.HeaderTicket, ""
	if random.IntN(2) == 0 {
		header, identity = rillreach.HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String()
	}
	deadline := time.Now().Add(10 * time.Second)
	for try := i; time.Now().Before(deadline); try++ {
		headers := []string{rillreach.HeaderRepeat, rillreach.RepeatNever}
		if identity != "" {
			headers = append(headers, header, identity)
		}
		a, err := trySend(http.MethodPost, f.entryURL(try)+"/services/receipts/issue", f.keys[account], o.body, headers...)
		if err == nil && a.status == http.StatusOK {
			r.answered.Add(1)
			o.ok, o.notRun = true, false
			return o
		}
		r.countFailure(a, err)
		o.attempts = append(o.attempts, fmt.Sprint(a.body, err))
		o.notRun = err == nil && a.header.Get(rillreach.HeaderOutcome) == string(rillreach.OutcomeNotRun)
		if err == nil && identity == "" {
			identity = a.header.Get(rillreach.HeaderTicket)
		}
		if isFinal(a, err, identity) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if o.notRun {
		r.notRun.Add(1)
	} else {
		r.unknown.Add(1)
	}
	return o
}

// isFinal reports whether retrying is pointless, because the caller has neither a key nor a ticket or because the owner
// of the key is gone.
func isFinal(a answer, err error, identity string) bool {
	if err != nil {
		return identity == ""
	}
	return a.header.Get(rillreach.HeaderReason) == string(rillreach.ReasonOwnerGone)
}

// compareWithRuns compares what the callers were told with what the services ran.
func (f *mixedFleet) compareWithRuns(t *testing.T, r *mixedReport, outcomes []callOutcome) {
	t.Helper()
	runs := map[string]int{}
	for _, s := range f.services {
		var ran map[string]int
		getJSON(t, "http://"+s.address("standin")+"/runs", &ran)
		for body, count := range ran {
			runs[body] += count
		}
	}
	for _, o := range outcomes {
		switch {
		case runs[o.body] > 1:
			r.ranTwice++
		case o.notRun && runs[o.body] > 0:
			r.refusedButRun++
			t.Logf("refused as not run, but run: %s: %v", o.body, o.attempts)
		case o.ok && runs[o.body] == 0:
			r.answeredButNotRun++
		}
	}
}

func (r *mixedReport) logSummary(t *testing.T, faults ...map[string]int) {
	t.Helper()
	t.Logf("requests %d: answered %d, lost %d, not run %d, unknown %d; retries %d", mixedRequests, r.answered.Load(),
		r.lost.Load(), r.notRun.Load(), r.unknown.Load(), r.retried.Load())
	t.Logf("wrong answers %d, wrong account %d, wrong version %d, run twice %d, refused but run %d, answered but not run %d",
		r.wrongAnswer.Load(), r.wrongAccount.Load(), r.wrongVersion.Load(), r.ranTwice, r.refusedButRun, r.answeredButNotRun)
	t.Logf("faults: %v", faults)
	r.causes.Range(func(name, count any) bool {
		t.Logf("failed attempts: %v: %d", name, count.(*atomic.Int64).Load())
		return true
	})
}
