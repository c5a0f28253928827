package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/node"
)

// EndMargin is kept from the grace for the process's own end: its log alone may take 0.2 s, and the smallest entries have a
// seventh of a core.
const EndMargin = 900 * time.Millisecond

const (
	// endShare is the part of a short grace that takes the place of EndMargin: the last sixth of a grace is where the users let a
	// stop cut what runs too long.
	endShare = 8
	// noticeTime is how long after the signal callers cannot know of it: the balancer's next two questions, one second apart, and
	// three quarters of a second for its time-out, the last connection that it gave and the request on that.
	noticeTime = 2750 * time.Millisecond
	// answerMargin is kept from the end of all work for the answers to requests that have none yet.
	answerMargin = 200 * time.Millisecond
	// finalLogTime is how long requests that are cut have for their lines in the log; it is part of EndMargin.
	finalLogTime = 100 * time.Millisecond
	// restartTime is how long an entry is taken to need until it is back after its end: the platform starts it again after a short
	// delay, and it then asks for configuration and runners once.
	restartTime = 600 * time.Millisecond
)

// errStopping is why a request ends that has no answer when the entry must end.
var errStopping = errors.New("the entry stops")

// planStop plans a stop: the last answers are due when the grace is over but for the margins.
func (g *Gateway) planStop(signalled time.Time) drain.Shutdown {
	grace := g.Settings.Bounds.GracePeriod
	left := max(grace-min(EndMargin, grace/endShare)-node.LateRequestWindow-answerMargin, 0)
	return drain.Shutdown{SignalTime: signalled, NoticePeriod: min(noticeTime, left/2), Deadline: signalled.Add(left)}
}

// stop ends the entry's work without cutting any of it. It says that it is not ready and goes on taking connections for as long
// as the process lives, since callers have nowhere else to go while all entries stop; what would not be done before the end is
// refused, and what has no answer at the end gets one.
func (g *Gateway) stop(signalled time.Time, finish func()) {
	g.plan = g.planStop(signalled)
	g.leaving.Store(true)
	g.Log.Info("stopping", "decision", "stop", "running", g.running.Count(), "end", g.plan.Deadline.Sub(signalled).String())
	time.Sleep(min(node.ReadinessLag, time.Until(g.plan.Deadline)))
	idle := g.running.Wait(time.Until(g.plan.Deadline))
	finish()
	g.Log.Info("taking no more requests", "decision", "stop", "idle", idle, "running", g.running.Count(), "after", time.Since(signalled).String())
	g.running.Wait(time.Until(g.plan.Deadline.Add(answerMargin)))
	if err := g.listener.StopAccepting(); err != nil {
		g.Log.Error(err, "listener for callers is not closed")
	}
	time.Sleep(node.LateRequestWindow - settledAfter*settleEvery) // the door is shut by now, so that the end must not wait any longer
	g.settleConnections()
	if g.running.Count() > 0 {
		g.cutRest()
	}
	g.Log.Info("stopped", "decision", "stop", "after", time.Since(signalled).String())
}

const (
	// settleEvery is how often it is looked at whether the last requests have their answers, settledAfter how many such looks in a row
	// have to find nothing: a request counts as running some microseconds after its head is whole.
	settleEvery  = time.Millisecond
	settledAfter = 3
)

// settleConnections closes the connections on which nothing was read, and waits for the answers to what was: a request that came in the
// last millisecond would be read and dropped with the process (one of some 2,800 in a stop beside load, in 1 of 15 stops).
func (g *Gateway) settleConnections() {
	quiet := 0
	for end := time.Now().Add(node.LateRequestWindow); quiet < settledAfter && time.Now().Before(end); time.Sleep(settleEvery) {
		quiet++
		if g.idles.closeResting() > 0 || g.running.Count() > 0 {
			quiet = 0
		}
	}
}

// cutRest ends what still runs, and waits for each to say so in the log.
func (g *Gateway) cutRest() {
	g.Log.Error(errStopping, "grace is over, requests are cut", "running", g.running.Count())
	if err := g.server.Close(); err != nil {
		g.Log.Error(err, "callers' connections are not closed")
	}
	if !g.running.Wait(finalLogTime) {
		g.Log.Error(errStopping, "requests are cut without a line of their own", "running", g.running.Count())
	}
}

// takeLeaving decides whether a request that comes during a stop is taken, and how; it returns why not.
func (g *Gateway) takeLeaving(x *exchange) *refusal {
	if g.over.Err() != nil {
		return g.refuseLeaving(x)
	}
	takes := g.takes(x.route)
	takes.Deadline, takes.CallerIdleTimeout = x.ends, x.route.CallerIdleTimeout()
	verdict := g.plan.Decide(time.Now(), takes)
	if verdict == drain.Refuse {
		g.Log.Info("too late to be taken", "decision", "drain", "request", x.wire.ID, "likely", takes.TypicalDuration.String(),
			"due", time.Until(x.ends).String(), "end", time.Until(g.plan.Deadline).String())
		return g.refuseLeaving(x)
	}
	x.buffered = verdict == drain.Buffer
	return nil
}

// refuseLeaving is the refusal of a request that the entry's end would overtake. Another entry takes it at once, unless the
// connection is so new that the balancer has no other: then the caller does best to wait until this one is back.
func (g *Gateway) refuseLeaving(x *exchange) *refusal {
	r := *leavingNow
	if opened := openedAt(x.request.Context()); opened.After(g.plan.SignalTime.Add(node.ReadinessLag)) {
		r.after = max(time.Until(g.plan.Deadline.Add(answerMargin+restartTime)), restartTime)
	}
	return &r
}

// openedKey is the key of the time at which a caller's connection was opened.
type openedKey struct{}

func withOpened(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// openedAt is when the request's connection was opened, the zero time where that is not known.
func openedAt(ctx context.Context) time.Time {
	at, _ := ctx.Value(openedKey{}).(time.Time)
	return at
}
