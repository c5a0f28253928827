package roster

import "time"

// mostRecent bounds the sends that are remembered where no report comes that would show them.
const mostRecent = 256

// recentSends are the requests that this process sent to one runner since its latest report was made, oldest first.
type recentSends struct {
	list []send
}

type send struct {
	at      time.Time
	reading int
	held    int
}

func (r *recentSends) add(at time.Time, reading, held int) {
	if len(r.list) >= mostRecent {
		r.list = r.list[1:]
	}
	r.list = append(r.list, send{at: at, reading: reading, held: held})
}

// forget drops what a report that was made at the moment shows.
func (r *recentSends) forget(made time.Time) {
	n := 0
	for n < len(r.list) && !r.list[n].at.After(made) {
		n++
	}
	r.list = append(r.list[:0], r.list[n:]...)
}

// since sums up what was sent after the moment.
func (r *recentSends) since(made time.Time) (held, reading int) {
	for _, s := range r.list {
		if s.at.After(made) {
			held += s.held
			reading += s.reading
		}
	}
	return held, reading
}
