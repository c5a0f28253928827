package completeness

import "time"

const (
	// ExitTime is how long a process that ends may take to close all its connections. It closes them one after the other,
	// and a busy machine may stop it in between.
	ExitTime = 200 * time.Millisecond
	// minIdleTime is how long processes keep a connection open at least on which nothing is sent.
	minIdleTime = 2 * time.Second
)

// SecondConnection is what is known of another connection to the process that has sent a response, which was open before the
// response ended. A process that ends closes all its connections within ExitTime, whereas one that has finished a response
// may close just the connection of that response.
type SecondConnection struct {
	// ResponseEnded is when the response ended.
	ResponseEnded time.Time
	// NotEarlier is set if no earlier process can have accepted the connection, since it was opened after that of the response.
	NotEarlier bool
	// NotLater is set if no later process can have accepted it, since it was opened before the request was sent or before
	// data of the response arrived.
	NotLater bool
	// LastUsed is when data was last sent or received on it before the response ended.
	LastUsed time.Time
	// Received is set if the other side has received data that was sent more than ExitTime after the response had ended. The
	// process need not have read it.
	Received bool
	// Closed is when the other side closed the connection, zero if it has not.
	Closed time.Time
	// Failed is set if the connection is unusable for another reason.
	Failed bool
}

// Process returns what the connection tells of the process. It returns false as long as that is nothing.
func (s SecondConnection) Process() (Process, bool) {
	if s.Received && s.NotLater {
		return ProcessRunning, true
	}
	return ProcessEnded, s.closedWithResponse()
}

// IsUseless reports whether the connection will not tell anything of the process.
func (s SecondConnection) IsUseless() bool {
	_, known := s.Process()
	return !known && (s.Failed || s.Received || !s.Closed.IsZero())
}

// closedWithResponse reports whether the connection was closed since the response ended, or just before that, which only the
// end of the process explains. A connection that was not used for a while may be closed at any time.
func (s SecondConnection) closedWithResponse() bool {
	if !s.NotEarlier || s.Received || s.Closed.IsZero() {
		return false
	}
	return !s.Closed.Before(s.ResponseEnded.Add(-ExitTime)) && s.Closed.Sub(s.LastUsed) < minIdleTime
}
