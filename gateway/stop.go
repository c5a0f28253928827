package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/callerconn"
	"github.com/rillreach/rillreach/drain"
	"github.com/rillreach/rillreach/node"
)

// ExitMargin is the part of the grace period that is reserved for the exit of the process: flushing its log alone may
// take 0.2 s, and the smallest entries have a seventh of a core.
const ExitMargin = 900 * time.Millisecond

const (
	// exitMarginDivisor limits ExitMargin to a fraction of a short grace period. It has to stay below the last sixth
	// of the period, in which a shutdown may cut off requests that take too long.
	exitMarginDivisor = 8
	// shutdownNoticePeriod is the time after the signal in which callers cannot know of the shutdown: two readiness
	// checks of the load balancer, one second apart, and 0.75 s for the timeout of the check, the last connection that
	// the balancer opens, and the request on it.
	shutdownNoticePeriod = 2750 * time.Millisecond
	// lastAnswerMargin is reserved after the shutdown deadline for answering requests that have no answer yet.
	lastAnswerMargin = 200 * time.Millisecond
	// cutLogTime is how long requests that are cut off have to write their log lines. It is part of ExitMargin.
	cutLogTime = 100 * time.Millisecond
	// restartTime is the assumed time from the end of an entry until it serves again: the platform restarts it after a
	// short delay, and the entry then fetches the configuration and the runners.
	restartTime = 600 * time.Millisecond
)

// errShuttingDown is the cause of cancellation for requests that have no answer at the shutdown deadline.
var errShuttingDown = errors.New("entry is shutting down")

// planShutdown returns the schedule of a shutdown. Its deadline is the end of the grace period minus the margins.
func (g *Gateway) planShutdown(signalTime time.Time) drain.Shutdown {
	grace := g.Settings.Bounds.GracePeriod
	untilDeadline := max(grace-min(ExitMargin, grace/exitMarginDivisor)-node.LateRequestWindow-lastAnswerMargin, 0)
	return drain.Shutdown{SignalTime: signalTime, NoticePeriod: min(shutdownNoticePeriod, untilDeadline/2), Deadline: signalTime.Add(untilDeadline)}
}

// shutDown drains the entry. It reports itself as not ready, but accepts connections for as long as the process lives,
// since callers have nowhere else to go if all entries shut down. Requests that would not complete in time are
// refused, and those without an answer at the deadline get an error response.
func (g *Gateway) shutDown(signalTime time.Time, endDrain func()) {
	g.shutdown = g.planShutdown(signalTime)
	g.shuttingDown.Store(true)
	g.Log.Info("stopping", "decision", "stop", "running", g.inflight.Count(), "end", g.shutdown.Deadline.Sub(signalTime).String())
	time.Sleep(min(node.ReadinessLag, time.Until(g.shutdown.Deadline)))
	idle := g.inflight.Wait(time.Until(g.shutdown.Deadline))
	endDrain()
	g.Log.Info("taking no more requests", "decision", "stop", "idle", idle, "running", g.inflight.Count(), "after", time.Since(signalTime).String())
	// The margin counts from here, since an entry that stood still asks for the answers later than planned.
	g.inflight.Wait(lastAnswerMargin)
	unreadDeadline := time.Now().Add(maxUnreadTime)
	g.awaitUnreadRequests(unreadDeadline)
	if err := g.listener.StopAccepting(); err != nil {
		g.Log.Error(err, "cannot close listener for callers")
	}
	// The listener is closed, so the exit must not be delayed by more than LateRequestWindow in total.
	time.Sleep(node.LateRequestWindow - settleChecks*settleInterval)
	g.settleConnections(unreadDeadline)
	if g.inflight.Count() > 0 {
		g.cutRemaining()
	}
	g.Log.Info("stopped", "decision", "stop", "after", time.Since(signalTime).String())
}

const (
	// settleInterval is the interval of the checks whether the last requests have their answers. settleChecks is how
	// many checks in a row must find nothing: a request counts as running only some microseconds after its head has
	// arrived.
	settleInterval = time.Millisecond
	settleChecks   = 3
	// maxUnreadTime bounds the wait for requests that have arrived and were not accepted or read yet. It is part of
	// ExitMargin.
	maxUnreadTime = 200 * time.Millisecond
	// minChecks is how many checks are made even if the process stood still past a deadline.
	minChecks = 20
)

// awaitUnreadRequests waits until callers' connections are accepted and what has arrived on them is read. On a busy
// machine both may take longer than the other margins of the shutdown.
func (g *Gateway) awaitUnreadRequests(deadline time.Time) {
	wait := drain.Wait{Deadline: deadline, MinChecks: minChecks}
	for (g.listener.HasPending() || g.idleConns.HasUnread()) && !wait.Over(time.Now()) {
		time.Sleep(settleInterval)
	}
}

// settleConnections closes the connections on which nothing has arrived, and waits for the answers to the requests on
// the others. Otherwise a request that arrives in the last millisecond would be lost when the process exits (about 1 of
// 2,800 requests during a shutdown under load).
func (g *Gateway) settleConnections(unreadDeadline time.Time) {
	settling := drain.Settling{
		Unread:      drain.Wait{Deadline: unreadDeadline, MinChecks: minChecks},
		Late:        drain.Wait{Deadline: time.Now().Add(node.LateRequestWindow), MinChecks: minChecks},
		QuietChecks: settleChecks,
	}
	for !settling.Done(time.Now(), g.arrivals()) {
		time.Sleep(settleInterval)
	}
}

// arrivals closes the connections on which nothing has arrived, and returns what has arrived on the others.
func (g *Gateway) arrivals() drain.Arrivals {
	incomplete := g.idleConns.CloseIdle()
	return drain.Arrivals{Unread: g.idleConns.HasUnread(), Unanswered: incomplete + g.inflight.Count()}
}

// cutRemaining closes the connections of the remaining requests, and waits for each of them to write its log line.
func (g *Gateway) cutRemaining() {
	g.Log.Error(errShuttingDown, "grace is over, requests are cut", "running", g.inflight.Count())
	if err := g.server.Close(); err != nil {
		g.Log.Error(err, "cannot close connections of callers")
	}
	if !g.inflight.Wait(cutLogTime) {
		g.Log.Error(errShuttingDown, "requests are cut without log lines of their own", "running", g.inflight.Count())
	}
}

// acceptDuringShutdown decides whether and how a request that arrives during the shutdown is accepted. It returns the
// refusal if it is not.
func (g *Gateway) acceptDuringShutdown(x *exchange) *refusal {
	if g.drainCtx.Err() != nil {
		return g.refuseDuringShutdown(x)
	}
	request := g.drainRequest(x.route)
	request.Deadline, request.CallerIdleTimeout = x.deadline, x.route.CallerIdleTimeout()
	action := g.shutdown.Decide(time.Now(), request)
	if action == drain.Refuse {
		g.Log.Info("too late to be taken", "decision", "drain", "request", x.wire.ID, "likely", request.TypicalDuration.String(),
			"due", time.Until(x.deadline).String(), "end", time.Until(g.shutdown.Deadline).String())
		return g.refuseDuringShutdown(x)
	}
	x.buffered = action == drain.Buffer
	return nil
}

// refuseDuringShutdown returns the refusal of a request that would not complete before the entry ends. Another entry
// can take the request at once, unless the connection was opened after the balancer must have noticed the shutdown. In
// that case the balancer has no other entry, and the caller should wait until this one is back.
func (g *Gateway) refuseDuringShutdown(x *exchange) *refusal {
	r := *refusedShutdown
	if opened := connOpenedAt(x.request.Context()); opened.After(g.shutdown.SignalTime.Add(node.ReadinessLag)) {
		r.retryAfter = max(time.Until(g.shutdown.Deadline.Add(lastAnswerMargin+restartTime)), restartTime)
	}
	return &r
}

// connOpenedKey is the context key of the time at which a caller's connection was opened.
type connOpenedKey struct{}

func withConnOpenedAt(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(callerconn.WithConn(ctx, conn), connOpenedKey{}, time.Now())
}

// connOpenedAt returns when the request's connection was opened, or the zero time if that is not known.
func connOpenedAt(ctx context.Context) time.Time {
	openedAt, _ := ctx.Value(connOpenedKey{}).(time.Time)
	return openedAt
}
