package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/completeness"
)

const (
	// inquiryPoll is the interval of the checks whether a question was received, of which the kernel does not notify.
	inquiryPoll = 20 * time.Millisecond
	// inquirySilenceTimeout is how long the question may remain unacknowledged until the inquiry is given up. A question that
	// is lost once is sent again within this time.
	inquirySilenceTimeout = 500 * time.Millisecond
)

// Inquiry finds out whether a process has ended with a response, by another connection to the process.
type Inquiry struct {
	// conn is nil if no connection was open before the response ended.
	conn          *monitorConn
	responseEnded time.Time
	// notEarlier, notLater and lastUsed are those of completeness.SecondConnection.
	notEarlier, notLater bool
	lastUsed             time.Time

	// sentAt is when the question was sent, zero before, and received is set once it was received.
	sentAt   time.Time
	received bool
	// failed is set if the question could not be sent although the connection is open.
	failed bool
}

// Await returns what becomes known of the process. It returns false if that is nothing. The question is a request that does
// nothing. It is sent if the process seems to run, and need not be answered: it is received only if the process has not ended.
func (i *Inquiry) Await(ctx context.Context, question *Request) (completeness.Process, bool) {
	if i.conn == nil {
		return completeness.ProcessUnresponsive, false
	}
	for {
		now := time.Now()
		if i.sentAt.IsZero() && now.Sub(i.responseEnded) > completeness.ExitTime {
			i.sentAt = now
			i.failed = errors.Is(i.conn.ask(question), errManyQuestions)
		}
		evidence := i.evidence(now)
		process, known := evidence.Process()
		if known || evidence.IsUseless() || !i.pause(ctx) {
			return process, known
		}
	}
}

// evidence returns what the connection has told so far.
func (i *Inquiry) evidence(now time.Time) completeness.SecondConnection {
	wasSent := !i.sentAt.IsZero() && !i.failed
	i.received = i.received || wasSent && i.conn.hasReceived()
	isSilent := wasSent && now.Sub(i.sentAt) >= inquirySilenceTimeout
	closedAt, failed := i.conn.state()
	return completeness.SecondConnection{
		ResponseEnded: i.responseEnded, NotEarlier: i.notEarlier, NotLater: i.notLater, LastUsed: i.lastUsed,
		Received: i.received, Closed: closedAt, Failed: failed || i.failed || isSilent,
	}
}

// pause waits until there may be more evidence. It returns false if the context ends before.
func (i *Inquiry) pause(ctx context.Context) bool {
	poll := time.NewTimer(inquiryPoll)
	defer poll.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-i.conn.ended:
	case <-poll.C:
	}
	return true
}
