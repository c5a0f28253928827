package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/peer"
	"github.com/rillreach/rillreach/pinning"
)

const (
	// pinLookupTimeout bounds one search for a stream's record, and pinSearchTimeout all searches for it: a record may
	// arrive at its replicas after the caller has come back. pinSearchInterval is the pause between two searches.
	pinLookupTimeout  = 200 * time.Millisecond
	pinSearchTimeout  = 250 * time.Millisecond
	pinSearchInterval = 40 * time.Millisecond
	// maxVersionListAge is how old the list of runners may be when it shows that a service has only one version. Watches
	// of the list last for up to three seconds.
	maxVersionListAge = 4 * time.Second
	// pinRetryAfter is when the caller of a stream whose beginning is not known should come back: replicas that have
	// restarted get their records again within this time.
	pinRetryAfter = 300 * time.Millisecond
)

// The refusals of requests that take up a stream.
var (
	refusedStreamUnknown  = &refusal{http.StatusServiceUnavailable, "stream-unknown", pinRetryAfter}
	refusedStreamDisputed = &refusal{http.StatusServiceUnavailable, "stream-disputed", 0}
	refusedServiceChanged = &refusal{http.StatusServiceUnavailable, "service-changed", 0}
)

// resumesStream reports whether the request takes up a stream whose beginning its caller has from another request.
func (x *exchange) resumesStream() bool {
	return x.route.Kind == deployment.EventStream && x.route.Resumable && (x.wire.Resumes != "" || x.wire.LastEventID != "")
}

// resumeStream finds out at which software version the stream began that the request takes up, and pins the request to
// it. It returns a refusal if that is not known or not possible.
func (g *Gateway) resumeStream(ctx context.Context, x *exchange) *refusal {
	search := g.findBeginning(ctx, x)
	refusal := g.pinToBeginning(x, search)
	refused := ""
	if refusal != nil {
		refused = refusal.reason
	}
	g.Log.Info("stream taken up", "decision", search.verdict, "refused", refused, "request", x.wire.ID, "resumes", x.wire.Resumes, "lastEvent", x.wire.LastEventID,
		"route", x.route.Name, "service", search.pin.Service, "software", search.pin.Software, "from", search.from, "age", search.age.String(),
		"asked", search.asked, "answers", len(search.evidence.Answers), "after", time.Since(x.arrived).String())
	g.Metrics.CountResumedStream(string(search.verdict), refused)
	return refusal
}

// pinToBeginning pins the request to the service and the version that began its stream.
func (g *Gateway) pinToBeginning(x *exchange, search *beginningSearch) *refusal {
	switch {
	case search.verdict == pinning.VerdictDisputed:
		return refusedStreamDisputed
	case !search.verdict.Known():
		return refusedStreamUnknown
	case !slices.ContainsFunc(x.route.WeightedServices, func(s deployment.WeightedService) bool { return s.Service == search.pin.Service }):
		return refusedServiceChanged // the configuration no longer lets the request run where its stream began
	}
	x.service = x.config.Services[search.pin.Service]
	if x.service == nil {
		return refusedUnknownService
	}
	x.pinTo(search.pin)
	return nil
}

// beginningSearch is a search for the beginning of a stream.
type beginningSearch struct {
	gateway  *Gateway
	exchange *exchange
	query    pinning.Query
	evidence pinning.Evidence
	pin      pinning.Pin
	verdict  pinning.Verdict
	// asked is the number of replicas that were asked. from is the process that has the record, and age how long it has
	// had it.
	asked int
	from  rillreach.InstanceID
	age   time.Duration
}

// findBeginning searches for the record of the stream that the request takes up: here, and then at the replicas, several
// times if none of them has it.
func (g *Gateway) findBeginning(ctx context.Context, x *exchange) *beginningSearch {
	ctx, cancel := context.WithTimeout(ctx, pinSearchTimeout)
	defer cancel()
	s := &beginningSearch{gateway: g, exchange: x, query: pinning.Query{Stream: x.streamOf(x.wire.Resumes), Service: x.service.Name}}
	s.evidence.Named = x.wire.Resumes != ""
	if s.query.Check() != nil {
		s.resolve() // there is no record of a stream that is not named, or whose ID is too long
		return s
	}
	s.addAnswer(rillreach.InstanceID(g.Settings.Name), g.pins.table.Find(time.Now(), s.query))
	for s.resolve(); s.verdict == pinning.VerdictUnknown && ctx.Err() == nil; s.resolve() {
		if s.askReplicas(ctx); s.asked == 0 {
			break
		}
		if s.resolve(); s.verdict == pinning.VerdictUnknown {
			pause.For(ctx, pinSearchInterval)
		}
	}
	return s
}

// addAnswer adds an answer to the evidence. The own table's is no evidence if it has no record.
func (s *beginningSearch) addAnswer(from rillreach.InstanceID, a pinning.Answer) {
	if a.Found {
		s.from, s.age = from, a.Age
	}
	if a.Found || from != rillreach.InstanceID(s.gateway.Settings.Name) {
		s.evidence.Answers = append(s.evidence.Answers, a)
	}
}

// resolve decides on the evidence so far.
func (s *beginningSearch) resolve() {
	g, x := s.gateway, s.exchange
	g.observeVersions()
	now := time.Now()
	began := now.Add(-pinLifetime(x))
	service, oneService := g.pins.services.Only(x.route.Name, began)
	software, oneVersion := g.pins.versions.Only(service, began)
	s.evidence.Only, s.evidence.OnlyIsCertain = pinning.Pin{}, false
	if oneService && oneVersion {
		s.evidence.Only = pinning.Pin{Service: service, Software: software}
		s.evidence.OnlyIsCertain = g.pins.versions.Covers(began, now, maxVersionListAge) && g.pins.services.Covers(began, now, maxVersionListAge)
	}
	s.pin, s.verdict = s.evidence.Resolve()
}

// askReplicas asks the stream's replicas and waits for all answers, or for the first record.
func (s *beginningSearch) askReplicas(ctx context.Context) {
	g := s.gateway
	ctx, cancel := context.WithTimeout(ctx, pinLookupTimeout)
	defer cancel()
	replicas := g.pins.distribution.ReplicasOf(time.Now(), s.query.Stream)
	s.asked = len(replicas)
	s.evidence.Answers = nil
	answers := make(chan replicaAnswer, len(replicas))
	var wg conc.WaitGroup
	for _, r := range replicas {
		wg.Go(func() { answers <- g.askReplica(ctx, r, s.query) })
	}
	for range replicas {
		if a := <-answers; a.err == nil {
			s.addAnswer(a.from, a.answer)
			if a.answer.Found {
				cancel() // the others are not needed any more
			}
		}
	}
	wg.Wait()
}

// replicaAnswer is the answer of one replica, or why there is none.
type replicaAnswer struct {
	from   rillreach.InstanceID
	answer pinning.Answer
	err    error
}

// askReplica asks one replica for the record of a stream.
func (g *Gateway) askReplica(ctx context.Context, r pinning.Replica, query pinning.Query) replicaAnswer {
	conn, err := g.peers.Get(ctx, r.Address)
	if err != nil {
		return replicaAnswer{err: err}
	}
	answer, err := peer.Invoke[pinning.Query, pinning.Answer](ctx, conn, peer.MethodFindPin, query)
	return replicaAnswer{from: conn.Peer.ID, answer: answer, err: err}
}
