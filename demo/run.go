package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/certs"
)

const (
	account       = rillreach.AccountID("demo")
	conversations = 24
	callers       = 8
	shiftSteps    = 5
	roundTime     = 1500 * time.Millisecond
	onceEvery     = 100 * time.Millisecond
	certLifetime  = 24 * time.Hour
	engineTime    = 2 * time.Millisecond
	prefill       = 40_000
)

// Summary is what the demonstration has shown.
type Summary struct {
	Requests        int     `json:"requests"`
	Complete        int     `json:"whole"`
	Lost            int     `json:"lost"`
	Duplicated      int     `json:"doubled"`
	TTFTP50         float64 `json:"ttft_p50_ms"`
	TTFTP95         float64 `json:"ttft_p95_ms"`
	RecomputedShare float64 `json:"recomputed_share"`
	// NonIdempotentCalls is how many calls that must not run twice were answered.
	NonIdempotentCalls int `json:"once_calls"`
	// OldStoreBytes and BytesNew are what went over the links to each side's stores.
	OldStoreBytes int64 `json:"store_bytes_old"`
	NewStoreBytes int64 `json:"store_bytes_new"`
	// BeforeShift and After are the first and last round's times to first token and share recomputed.
	BeforeShift Round `json:"before_shift"`
	AfterShift  Round `json:"after_shift"`
}

// Round is the traffic under one setting of the weights.
type Round struct {
	TTFTP50         float64 `json:"ttft_p50_ms"`
	TTFTP95         float64 `json:"ttft_p95_ms"`
	RecomputedShare float64 `json:"recomputed_share"`
}

// Failed reports whether anything was lost or doubled.
func (s Summary) Failed() bool { return s.Lost > 0 || s.Duplicated > 0 }

// Run runs the demonstration and writes its progress; keep, which may be nil, is called at its end, while the fleet is
// still up, with an entry's address and a key.
func Run(ctx context.Context, progress io.Writer, keep func(ctx context.Context, url, key string)) (Summary, error) {
	f := &Fleet{Entries: 2, Runners: 2, Stores: 1, TokenInterval: engineTime, PrefillRate: prefill, TLS: fleetTLS(), Log: logr.Discard()}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return Summary{}, err
	}
	key, credential, err := rillreach.NewAPIKey(account)
	if err != nil {
		return Summary{}, err
	}
	d := &demonstration{fleet: f, progress: progress, key: key, credential: credential, once: map[string]bool{}}
	if err := d.write(ctx, 0); err != nil {
		return Summary{}, err
	}
	if err := f.WaitReady(ctx, key); err != nil {
		return Summary{}, err
	}
	for i := range conversations {
		d.conversations = append(d.conversations, newConversation(i))
	}
	summary, err := d.run(ctx)
	if err == nil && keep != nil {
		keep(ctx, f.URLs[0], key)
	}
	return summary, err
}

// fleetTLS makes certificates in memory for the demonstration's fleet.
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
		return source.Config()
	}
}

type demonstration struct {
	fleet         *Fleet
	progress      io.Writer
	key           string
	credential    rillreach.Credential
	conversations []*conversation
	versions      [2]uint64
	all           *traffic
	mu            sync.Mutex
	once          map[string]bool
	onceLost      int
}

// write sets the weight of the new side in the rows of the model and of the service.
func (d *demonstration) write(ctx context.Context, toNew int) error {
	for i, model := range []rillreach.ModelID{Model, rillreach.ModelID(Service)} {
		version, err := d.fleet.Editor.Write(ctx, rillreach.Row{
			Format: rillreach.RowFormat, Account: account, Model: model, Version: Version,
			Weights:   rillreach.Weights{Old: rillreach.TotalWeight - toNew, New: toNew},
			Objective: rillreach.ObjectiveFirstToken, Credentials: []rillreach.Credential{d.credential},
		}, d.versions[i])
		if err != nil {
			return err
		}
		d.versions[i] = version
	}
	return nil
}

func (d *demonstration) run(ctx context.Context) (Summary, error) {
	d.all = newTraffic(d.key)
	var before, after *traffic
	for step := range shiftSteps + 1 {
		weight := step * rillreach.TotalWeight / shiftSteps
		if step > 0 {
			if err := d.write(ctx, weight); err != nil {
				return Summary{}, err
			}
		}
		round, err := d.round(ctx)
		if err != nil {
			return Summary{}, err
		}
		_, _ = fmt.Fprintf(d.progress, "old %3d  new %3d  requests %4d  whole %4d  lost %d  p50 %.1f ms  p95 %.1f ms  computed %.0f%%\n",
			rillreach.TotalWeight-weight, weight, round.requests, round.whole, round.lost, round.quantile(50), round.quantile(95), 100*round.share())
		if step == 0 {
			before = round
		}
		after = round
	}
	return d.summary(before, after), nil
}

// round sends prompts, and calls that must not run twice, for a while.
func (d *demonstration) round(ctx context.Context) (*traffic, error) {
	t := newTraffic(d.key)
	group := pool.New().WithContext(ctx).WithCancelOnError()
	end := time.Now().Add(roundTime)
	for caller := range callers {
		group.Go(func(ctx context.Context) error { return d.call(ctx, t, caller, end) })
	}
	group.Go(func(ctx context.Context) error { return d.callOnce(ctx, end) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	d.all.add(t)
	return t, nil
}

// call has one caller's conversations return one after another.
func (d *demonstration) call(ctx context.Context, t *traffic, caller int, end time.Time) error {
	for i := caller; time.Now().Before(end); i += callers {
		c := d.conversations[i%conversations]
		if err := t.send(ctx, d.fleet.URLs[rand.IntN(len(d.fleet.URLs))], c); err != nil {
			return err
		}
		c.say(turnWords)
		if len(c.messages) > 40 {
			*c = *newConversation(c.number + conversations)
		}
	}
	return nil
}

// callOnce sends calls that must not run twice, each to both entries at once under one ticket.
func (d *demonstration) callOnce(ctx context.Context, end time.Time) error {
	for time.Now().Before(end) {
		body := uuid.NewString()
		group := pool.New().WithContext(ctx)
		ticket, err := d.ticket(ctx)
		if err != nil {
			return err
		}
		for _, url := range d.fleet.URLs {
			group.Go(func(ctx context.Context) error { return d.issue(ctx, url, ticket, body) })
		}
		err = group.Wait()
		d.mu.Lock()
		d.once[body] = err == nil
		if err != nil {
			d.onceLost++
		}
		d.mu.Unlock()
		time.Sleep(onceEvery)
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
		return "", errors.Newf("no ticket in %s", answer)
	}
	return ticket, nil
}

func (d *demonstration) issue(ctx context.Context, url, ticket, body string) error {
	_, err := d.post(ctx, url+"/services/"+string(Service)+"/issue", ticket, body)
	return err
}

func (d *demonstration) post(ctx context.Context, url, ticket, body string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", errors.Wrap(err, "make request")
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
		return "", errors.Wrap(err, "read answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return "", errors.Newf("status %d: %s", resp.StatusCode, data)
	}
	return string(data), nil
}

func (d *demonstration) summary(before, after *traffic) Summary {
	s := Summary{
		Requests: d.all.requests + len(d.once), Complete: d.all.whole + len(d.once) - d.onceLost, Lost: d.all.lost + d.onceLost,
		TTFTP50: d.all.quantile(50), TTFTP95: d.all.quantile(95), RecomputedShare: d.all.share(),
		NonIdempotentCalls: len(d.once) - d.onceLost, BeforeShift: roundOf(before), AfterShift: roundOf(after),
	}
	for _, served := range d.fleet.Services {
		for body, count := range served.RunCounts() {
			if _, ours := d.once[body]; ours && count > 1 {
				s.Duplicated++
			}
		}
	}
	s.OldStoreBytes, s.NewStoreBytes = d.bytesOn(rillreach.SideOld), d.bytesOn(rillreach.SideNew)
	return s
}

func (d *demonstration) bytesOn(side rillreach.Side) int64 {
	var bytes int64
	for _, st := range d.fleet.StoresBySide[side] {
		counts := st.Counts()
		bytes += counts.ReadBytes + counts.WriteBytes
	}
	return bytes
}

func roundOf(t *traffic) Round {
	return Round{TTFTP50: t.quantile(50), TTFTP95: t.quantile(95), RecomputedShare: t.share()}
}

// add takes another traffic's counts in.
func (t *traffic) add(other *traffic) {
	t.first.Merge(other.first)
	t.requests += other.requests
	t.whole += other.whole
	t.lost += other.lost
	t.prompt += other.prompt
	t.cached += other.cached
}
