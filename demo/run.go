package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/certs"
)

const (
	account               = rillreach.AccountID("demo")
	conversationCount     = 24
	callerCount           = 8
	weightSteps           = 5
	roundDuration         = 1500 * time.Millisecond
	nonIdempotentInterval = 100 * time.Millisecond
	maxTickets            = 3
	certLifetime          = 24 * time.Hour
	tokenInterval         = 2 * time.Millisecond
	prefillRate           = 40_000
)

// Summary is the result of the demo.
type Summary struct {
	Requests        int     `json:"requests"`
	Complete        int     `json:"whole"`
	Lost            int     `json:"lost"`
	Duplicated      int     `json:"doubled"`
	TTFTP50         float64 `json:"ttft_p50_ms"`
	TTFTP95         float64 `json:"ttft_p95_ms"`
	RecomputedShare float64 `json:"recomputed_share"`
	// NonIdempotentCalls is how many calls that must not run twice succeeded.
	NonIdempotentCalls int `json:"once_calls"`
	// OldStoreBytes and NewStoreBytes are the bytes read from and written to each side's stores.
	OldStoreBytes int64 `json:"store_bytes_old"`
	NewStoreBytes int64 `json:"store_bytes_new"`
	// BeforeShift and AfterShift are the results of the first and the last round.
	BeforeShift Round `json:"before_shift"`
	AfterShift  Round `json:"after_shift"`
}

// Round is the result of the traffic with one setting of the weights.
type Round struct {
	TTFTP50         float64 `json:"ttft_p50_ms"`
	TTFTP95         float64 `json:"ttft_p95_ms"`
	RecomputedShare float64 `json:"recomputed_share"`
}

// Failed reports whether any request was lost or executed twice.
func (s Summary) Failed() bool { return s.Lost > 0 || s.Duplicated > 0 }

// Run runs the demo and writes its progress. At the end, while the fleet still runs, it calls atEnd, unless nil, with
// an entry's URL and an API key.
func Run(ctx context.Context, progress io.Writer, atEnd func(ctx context.Context, url, key string)) (Summary, error) {
	f := &Fleet{Entries: 2, Runners: 2, Stores: 1, TokenInterval: tokenInterval, PrefillRate: prefillRate, TLS: fleetTLS(), Log: logr.Discard()}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return Summary{}, err
	}
	key, credential, err := rillreach.NewAPIKey(account)
	if err != nil {
		return Summary{}, err
	}
	d := &demonstration{fleet: f, progress: progress, key: key, credential: credential, sentBodies: map[string]bool{}}
	if err := d.writeWeights(ctx, 0); err != nil {
		return Summary{}, err
	}
	if err := f.WaitReady(ctx, key); err != nil {
		return Summary{}, err
	}
	for i := range conversationCount {
		d.conversations = append(d.conversations, newConversation(i))
	}
	summary, err := d.run(ctx)
	if err == nil && atEnd != nil {
		atEnd(ctx, f.URLs[0], key)
	}
	return summary, err
}

// fleetTLS returns TLS configurations with certificates generated in memory.
func fleetTLS() func(rillreach.Role) (*tls.Config, error) {
	authority, err := certs.NewAuthority(certLifetime)
	return func(role rillreach.Role) (*tls.Config, error) {
		if err != nil {
			return nil, err
		}
		pair, err := authority.Issue(role, certLifetime)
		if err != nil {
			return nil, err
		}
		source := &certs.Source{Certificate: string(pair.Certificate), Key: string(pair.Key), Authority: string(authority.Certificate)}
		return source.TLSConfig()
	}
}

type demonstration struct {
	fleet         *Fleet
	progress      io.Writer
	key           string
	credential    rillreach.Credential
	conversations []*conversation
	rowVersions   [2]uint64
	total         *traffic
	mu            sync.Mutex
	// sentBodies maps the body of each call that must not run twice to whether the call succeeded.
	sentBodies map[string]bool
	lostCalls  int
}

// writeWeights sets the weight of the new side in the rows of the model and the service.
func (d *demonstration) writeWeights(ctx context.Context, newWeight int) error {
	for i, model := range []rillreach.ModelID{Model, rillreach.ModelID(Service)} {
		version, err := d.fleet.Editor.Write(ctx, rillreach.Row{
			Format: rillreach.RowFormat, Account: account, Model: model, Version: Version,
			Weights:   rillreach.Weights{Old: rillreach.TotalWeight - newWeight, New: newWeight},
			Objective: rillreach.ObjectiveFirstToken, Credentials: []rillreach.Credential{d.credential},
		}, d.rowVersions[i])
		if err != nil {
			return err
		}
		d.rowVersions[i] = version
	}
	return nil
}

func (d *demonstration) run(ctx context.Context) (Summary, error) {
	d.total = newTraffic(d.key)
	var before, after *traffic
	for step := range weightSteps + 1 {
		weight := step * rillreach.TotalWeight / weightSteps
		if step > 0 {
			if err := d.writeWeights(ctx, weight); err != nil {
				return Summary{}, err
			}
		}
		round, err := d.runRound(ctx)
		if err != nil {
			return Summary{}, err
		}
		_, _ = fmt.Fprintf(d.progress, "old %3d  new %3d  requests %4d  whole %4d  lost %d  p50 %.1f ms  p95 %.1f ms  computed %.0f%%\n",
			rillreach.TotalWeight-weight, weight, round.requests, round.complete, round.lost, round.quantile(50), round.quantile(95), 100*round.computedShare())
		if step == 0 {
			before = round
		}
		after = round
	}
	return d.summary(before, after), nil
}

// runRound sends prompts, and calls that must not run twice, for roundDuration.
func (d *demonstration) runRound(ctx context.Context) (*traffic, error) {
	t := newTraffic(d.key)
	group := pool.New().WithContext(ctx).WithCancelOnError()
	end := time.Now().Add(roundDuration)
	for caller := range callerCount {
		group.Go(func(ctx context.Context) error { return d.runCaller(ctx, t, caller, end) })
	}
	group.Go(func(ctx context.Context) error { return d.callNonIdempotent(ctx, end) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	d.total.add(t)
	return t, nil
}

// runCaller continues one caller's conversations in turn until the end time.
func (d *demonstration) runCaller(ctx context.Context, t *traffic, caller int, end time.Time) error {
	for i := caller; time.Now().Before(end); i += callerCount {
		c := d.conversations[i%conversationCount]
		if err := t.send(ctx, d.fleet.URLs[rand.IntN(len(d.fleet.URLs))], c); err != nil {
			return err
		}
		c.addUserMessage(nextMessageWords)
		if len(c.messages) > 40 {
			*c = *newConversation(c.number + conversationCount)
		}
	}
	return nil
}

// errNotRun marks the refusal of a call that was certainly not run.
var errNotRun = errors.New("call was not run")

// callNonIdempotent sends calls that must not run twice.
func (d *demonstration) callNonIdempotent(ctx context.Context, end time.Time) error {
	for time.Now().Before(end) {
		body := uuid.NewString()
		err := d.callUntilRun(ctx, body)
		d.mu.Lock()
		d.sentBodies[body] = err == nil
		if err != nil {
			d.lostCalls++
		}
		d.mu.Unlock()
		time.Sleep(nonIdempotentInterval)
	}
	return nil
}

// callUntilRun sends a call. If it was not run it is sent again with a new ticket, since the agent that a ticket names may
// have been taken out of use meanwhile.
func (d *demonstration) callUntilRun(ctx context.Context, body string) error {
	var err error
	for range maxTickets {
		var ticket string
		if ticket, err = d.ticket(ctx); err != nil {
			return err
		}
		if err = d.callAllEntries(ctx, ticket, body); !errors.Is(err, errNotRun) {
			return err
		}
		time.Sleep(nonIdempotentInterval)
	}
	return err
}

// callAllEntries sends a call to all entries at once with the same ticket. The error is errNotRun only if all of them refuse
// the call as not run.
func (d *demonstration) callAllEntries(ctx context.Context, ticket, body string) error {
	errs := make([]error, len(d.fleet.URLs))
	var calls conc.WaitGroup
	for i, url := range d.fleet.URLs {
		calls.Go(func() { errs[i] = d.sendCall(ctx, url, ticket, body) })
	}
	calls.Wait()
	mayHaveRun := func(err error) bool { return !errors.Is(err, errNotRun) }
	if !slices.ContainsFunc(errs, mayHaveRun) {
		return errNotRun
	}
	for _, err := range errs {
		if err != nil {
			return errors.Newf("call that may have run failed at an entry: %v", err)
		}
	}
	return nil
}

func (d *demonstration) ticket(ctx context.Context) (string, error) {
	answer, err := d.post(ctx, d.fleet.URLs[0]+"/v1/tickets/"+string(Service), "", "")
	if err != nil {
		return "", err
	}
	_, rest, _ := strings.Cut(answer, `"ticket":"`)
	ticket, _, ok := strings.Cut(rest, `"`)
	if !ok {
		return "", errors.Newf("response contains no ticket: %s", answer)
	}
	return ticket, nil
}

func (d *demonstration) sendCall(ctx context.Context, url, ticket, body string) error {
	_, err := d.post(ctx, url+"/services/"+string(Service)+"/issue", ticket, body)
	return err
}

func (d *demonstration) post(ctx context.Context, url, ticket, body string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	if ticket != "" {
		req.Header.Set(rillreach.HeaderTicket, ticket)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "send call")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "read response")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		err := errors.Newf("status %d: %s", resp.StatusCode, data)
		if resp.Header.Get(rillreach.HeaderOutcome) == string(rillreach.OutcomeNotRun) {
			err = errors.Mark(err, errNotRun)
		}
		return "", err
	}
	return string(data), nil
}

func (d *demonstration) summary(before, after *traffic) Summary {
	s := Summary{
		Requests: d.total.requests + len(d.sentBodies), Complete: d.total.complete + len(d.sentBodies) - d.lostCalls, Lost: d.total.lost + d.lostCalls,
		TTFTP50: d.total.quantile(50), TTFTP95: d.total.quantile(95), RecomputedShare: d.total.computedShare(),
		NonIdempotentCalls: len(d.sentBodies) - d.lostCalls, BeforeShift: newRound(before), AfterShift: newRound(after),
	}
	for _, svc := range d.fleet.Services {
		for body, count := range svc.RunCounts() {
			if _, sent := d.sentBodies[body]; sent && count > 1 {
				s.Duplicated++
			}
		}
	}
	s.OldStoreBytes, s.NewStoreBytes = d.transferredBytes(rillreach.SideOld), d.transferredBytes(rillreach.SideNew)
	return s
}

func (d *demonstration) transferredBytes(side rillreach.Side) int64 {
	var total int64
	for _, store := range d.fleet.StoresBySide[side] {
		counts := store.Counts()
		total += counts.ReadBytes + counts.WriteBytes
	}
	return total
}

func newRound(t *traffic) Round {
	return Round{TTFTP50: t.quantile(50), TTFTP95: t.quantile(95), RecomputedShare: t.computedShare()}
}

// add adds the results of other traffic.
func (t *traffic) add(other *traffic) {
	t.firstToken.Merge(other.firstToken)
	t.requests += other.requests
	t.complete += other.complete
	t.lost += other.lost
	t.promptTokens += other.promptTokens
	t.cachedTokens += other.cachedTokens
}
