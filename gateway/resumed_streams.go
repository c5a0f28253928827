package gateway

// resumesStream reports whether the request takes up a stream whose beginning its caller has from another request.
func (x *exchange) resumesStream() bool { return x.wire.Resumes != "" || x.wire.LastEventID != "" }

// logResumedStream logs which stream a request takes up.
func (g *Gateway) logResumedStream(x *exchange) {
	g.Log.Info("stream taken up", "decision", "continue", "request", x.wire.ID, "resumes", x.wire.Resumes, "lastEvent", x.wire.LastEventID,
		"route", x.route.Name, "service", x.service.Name)
}
