package gateway

import "time"

// callerIdleTimeout returns how long a caller's connection may be idle. It is a little longer than configured, since
// the caller may just be sending its next request.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if c := g.state.Config(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout + connTimeoutSlack
	}
	return defaultIdleTimeout + connTimeoutSlack
}

// callerHeadTimeout returns how long the head of a request may take, a little longer than configured.
func (g *Gateway) callerHeadTimeout() time.Duration {
	if c := g.state.Config(); c != nil && c.Limits.HeaderTimeout > 0 {
		return min(c.Limits.HeaderTimeout+connTimeoutSlack, maxHeaderTimeout)
	}
	return maxHeaderTimeout
}
