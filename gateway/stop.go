package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/node"
)

// ExitMargin is kept from the grace for the process's own end: its log alone may take 0.2 s, and the smallest entries have a
// seventh of a core.
const ExitMargin = 900 * time.Millisecond

const (
	// exitMarginDivisor is the part of a short grace that takes the place of EndMargin: the last sixth of a grace is where the users let a
	// stop cut what runs too long.
	exitMarginDivisor = 8
	// shutdownNoticePeriod is how long after the signal callers cannot know of it: the balancer's next two questions, one second apart, and
	// three quarters of a second for its time-out, the last connection that it gave and the request on that.
	shutdownNoticePeriod = 2750 * time.Millisecond
	// lastAnswerMargin is kept from the end of all work for the answers to requests that have none yet.
	lastAnswerMargin = 200 * time.Millisecond
	// cutLogTime is how long requests that are cut have for their lines in the log; it is part of EndMargin.
	cutLogTime = 100 * time.Millisecond
	// restartTime is how long an entry is taken to need until it is back after its end: the platform starts it again after a short
	// delay, and it then asks for configuration and runners once.
	restartTime = 600 * time.Millisecond
)

// errShuttingDown is why a request ends that has no answer when the entry must end.
var errShuttingDown = errors.New("the entry stops")

// planShutdown plans a stop: the last answers are due when the grace is over but for the margins.
func (g *Gateway) planShutdown(signalled time.Time) drain.Shutdown {
	grace := g.Settings.Bounds.GracePeriod
	left := max(grace-min(ExitMargin, grace/exitMarginDivisor)-node.LastRequestTime-lastAnswerMargin, 0)
	return drain.Shutdown{SignalTime: signalled, NoticePeriod: min(shutdownNoticePeriod, left/2), Deadline: signalled.Add(left)}
}

// shutDown ends the entry's work without cutting any of it. It says that it is not ready and goes on taking connections for as long
// as the process lives, since callers have nowhere else to go while all entries shutDown; what would not be done before the end is
// refused, and what has no answer at the end gets one.
func (g *Gateway) shutDown(signalled time.Time, finish func()) {
	g.shutdown = g.planShutdown(signalled)
	g.shuttingDown.Store(true)
	g.Log.Info("stopping", "decision", "stop", "running", g.inflight.Count(), "end", g.shutdown.Deadline.Sub(signalled).String())
	time.Sleep(min(node.ReadinessLag, time.Until(g.shutdown.Deadline)))
	idle := g.inflight.Wait(time.Until(g.shutdown.Deadline))
	finish()
	g.Log.Info("taking no more requests", "decision", "stop", "idle", idle, "running", g.inflight.Count(), "after", time.Since(signalled).String())
	g.inflight.Wait(time.Until(g.shutdown.Deadline.Add(lastAnswerMargin)))
	if err := g.listener.StopAccepting(); err != nil {
		g.Log.Error(err, "listener for callers is not closed")
	}
	time.Sleep(node.LastRequestTime - settleChecks*settleInterval) // the door is shut by now, so that the end must not wait any longer
	g.settleConnections()
	if g.inflight.Count() > 0 {
		g.cutRemaining()
	}
	g.Log.Info("stopped", "decision", "stop", "after", time.Since(signalled).String())
}

const (
	// settleInterval is how often it is looked at whether the last requests have their answers, settledAfter how many such looks in a row
	// have to find nothing: a request counts as running some microseconds after its head is whole.
	settleInterval = time.Millisecond
	settleChecks   = 3
)

// settleConnections closes the connections on which nothing was read, and waits for the answers to what was: a request that came in the
// last millisecond would be read and dropped with the process (one of some 2,800 in a stop beside load, in 1 of 15 stops).
func (g *Gateway) settleConnections() {
	quiet := 0
	for end := time.Now().Add(node.LastRequestTime); quiet < settleChecks && time.Now().Before(end); time.Sleep(settleInterval) {
		quiet++
		if g.idleConns.closeIdle() > 0 || g.inflight.Count() > 0 {
			quiet = 0
		}
	}
}

// cutRemaining ends what still runs, and waits for each to say so in the log.
func (g *Gateway) cutRemaining() {
	g.Log.Error(errShuttingDown, "grace is over, requests are cut", "running", g.inflight.Count())
	if err := g.server.Close(); err != nil {
		g.Log.Error(err, "callers' connections are not closed")
	}
	if !g.inflight.Wait(cutLogTime) {
		g.Log.Error(errShuttingDown, "requests are cut without a line of their own", "running", g.inflight.Count())
	}
}

// acceptDuringShutdown decides whether a request that comes during a stop is taken, and how; it returns why not.
func (g *Gateway) acceptDuringShutdown(x *exchange) *refusal {
	if g.drainCtx.Err() != nil {
		return g.refuseDuringShutdown(x)
	}
	takes := g.takes(x.route)
	takes.Deadline, takes.CallerIdleTimeout = x.deadline, x.route.CallerIdleTimeout()
	verdict := g.shutdown.Decide(time.Now(), takes)
	if verdict == drain.Refuse {
		g.Log.Info("too late to be taken", "decision", "drain", "request", x.wire.ID, "likely", takes.TypicalDuration.String(),
			"due", time.Until(x.deadline).String(), "end", time.Until(g.shutdown.Deadline).String())
		return g.refuseDuringShutdown(x)
	}
	x.buffered = verdict == drain.Buffer
	return nil
}

// refuseDuringShutdown is the refusal of a request that the entry's end would overtake. Another entry takes it at once, unless the
// connection is so new that the balancer has no other: then the caller does best to wait until this one is back.
func (g *Gateway) refuseDuringShutdown(x *exchange) *refusal {
	r := *refusedShutdown
	if opened := connOpenedAt(x.request.Context()); opened.After(g.shutdown.SignalTime.Add(node.ReadinessLag)) {
		r.retryAfter = max(time.Until(g.shutdown.Deadline.Add(lastAnswerMargin+restartTime)), restartTime)
	}
	return &r
}

// connOpenedKey is the key of the time at which a caller's connection was opened.
type connOpenedKey struct{}

func withConnOpenedAt(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connOpenedKey{}, time.Now())
}

// connOpenedAt is when the request's connection was opened, the zero time where that is not known.
func connOpenedAt(ctx context.Context) time.Time {
	at, _ := ctx.Value(connOpenedKey{}).(time.Time)
	return at
}
