//go:build review2

package stage

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// loud makes the connections of a runner end as it goes down. It is off in the case itself, and shows what the silence does.
var loud = os.Getenv("REVIEW_LOUD") == "1"

// darkRunner is a runner whose machine goes down without a word when a fatal request begins to run there, and is back after
// darkTime. Its link belongs to it: while it is down, its connections are silent and new ones get no answer.
type darkRunner struct {
	stage  *stage
	id     string
	number int
	link   *link

	mu       sync.Mutex
	born     int64
	down     bool
	server   *httptest.Server
	listener net.Listener
	carried  []*net.TCPConn
}

const (
	darkRunners = 3
	darkTime    = 2 * time.Second
	fatalPath   = "/bobo563/fatal"
	contactTime = 3 * time.Second
)

// fatalLog is what the fatal request has done.
type fatalLog struct {
	mu               sync.Mutex
	arrivals, crashs []time.Time
}

func (f *fatalLog) add(list *[]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, time.Now())
}

func (s *stage) startDark(number int, fatal *fatalLog) (*darkRunner, error) {
	d := &darkRunner{stage: s, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), number: number, born: time.Now().UnixMilli()}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, fatal) }))
	if err := d.listen(); err != nil {
		return nil, err
	}
	go s.keepRecord(d.id, func() (map[string]any, bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return map[string]any{
			"service": "s", "address": s.address(3, number, runnerPort), "zone": "z", "slots": 6, "state": "ready", "version": "v1", "cold_remaining_ms": 0,
			"born": d.born,
		}, !d.down
	})
	return d, nil
}

// listen takes connections at the runner's address.
func (d *darkRunner) listen() error {
	l, err := net.Listen("tcp", d.stage.address(3, d.number, runnerPort))
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener, d.link = l, &link{to: strings.TrimPrefix(d.server.URL, "http://")}
	go func(l net.Listener, way *link) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			tcp := conn.(*net.TCPConn)
			d.mu.Lock()
			d.carried = append(d.carried, tcp)
			d.mu.Unlock()
			go way.carry(tcp)
		}
	}(l, d.link)
	return nil
}

// goDark takes the machine down, and brings it back after darkTime. The connections of before get a reset then.
func (d *darkRunner) goDark() {
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		return
	}
	d.down = true
	d.link.cut()
	carried := d.carried
	d.carried = nil
	_ = d.listener.Close()
	d.mu.Unlock()
	if loud {
		d.stage.note("%s is down, and its connections end", d.id)
		reset(carried)
		time.AfterFunc(darkTime, func() { d.comeBack(nil) })
		return
	}
	d.stage.note("%s is down without a word", d.id)
	silent, err := listenSilently(d.stage.host(3, d.number), runnerPort)
	if err != nil {
		d.stage.note("cannot be silent: %v", err)
	}
	time.AfterFunc(darkTime, func() {
		silent()
		d.comeBack(carried)
	})
}

// comeBack brings the machine back. It knows nothing of the connections of before.
func (d *darkRunner) comeBack(before []*net.TCPConn) {
	reset(before)
	if err := d.listen(); err != nil {
		d.stage.note("%s does not come back: %v", d.id, err)
		return
	}
	d.mu.Lock()
	d.down, d.born = false, time.Now().UnixMilli()
	d.mu.Unlock()
	d.stage.note("%s is back", d.id)
}

func reset(conns []*net.TCPConn) {
	for _, conn := range conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// listenSilently makes connections to an address get no answer, as from a machine that is down: its queue of connections is
// full.
func listenSilently(host string, port int) (stop func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return func() {}, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	address := &syscall.SockaddrInet4{Port: port}
	copy(address.Addr[:], net.ParseIP(host).To4())
	if err := syscall.Bind(fd, address); err != nil {
		_ = syscall.Close(fd)
		return func() {}, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		_ = syscall.Close(fd)
		return func() {}, err
	}
	var fill []net.Conn
	for range 4 {
		if conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, port), 50*time.Millisecond); err == nil {
			fill = append(fill, conn)
		}
	}
	return func() {
		for _, conn := range fill {
			_ = conn.Close()
		}
		_ = syscall.Close(fd)
	}, nil
}

// serve runs a request.
func (d *darkRunner) serve(w http.ResponseWriter, r *http.Request, fatal *fatalLog) {
	id := r.Header.Get("X-Rillreach-Attempt-Id")
	w.Header().Set("X-Rillreach-Attempt-Id", id)
	switch {
	case r.Header.Get("X-Rillreach-Target-Instance") != d.id:
		w.Header().Set("X-Rillreach-Instance-Id", d.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Rillreach-Instance-Id", d.id)
		return
	case r.URL.Path == fatalPath:
		fatal.add(&fatal.arrivals)
		d.stage.note("%s begins to run the fatal request (%s)", d.id, id)
		if d.stage.trouble {
			fatal.add(&fatal.crashs)
			d.goDark()
			<-r.Context().Done()
			return
		}
	default:
		time.Sleep(200 * time.Millisecond)
	}
	w.Header().Set("X-Rillreach-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

// playDark sends a request again and again that takes down each machine whose runner begins to run it.
func playDark(s *stage) (bool, error) {
	fatal := &fatalLog{}
	s.putKeys(1, key)
	for number := range darkRunners {
		if _, err := s.startDark(number+1, fatal); err != nil {
			return false, err
		}
	}
	if _, err := s.startEntry(1); err != nil {
		return false, err
	}
	if err := s.awaitReady(1); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var wg sync.WaitGroup
	served, lost := 0, 0
	until := time.Now().Add(30 * time.Second)
	wg.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			s.ask(fmt.Sprintf("fatal-%d", n), fatalPath)
			time.Sleep(800 * time.Millisecond)
		}
	})
	wg.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			if s.ask(fmt.Sprintf("sound-%d", n), fmt.Sprintf("/bobo563/sound%d", n)) == http.StatusOK {
				served++
			} else {
				lost++
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	wg.Wait()
	s.note("sound requests: %d served, %d not", served, lost)
	return s.judgeFatal(fatal)
}

// ask sends one request and returns the status of its answer, zero if there is none.
func (s *stage) ask(id, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.address(1, 1, frontendPort)+path, http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = hostName
	req.Header.Set("X-Rillreach-Attempt-Id", id)
	req.Header.Set("X-Rillreach-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		s.note("request %s: %v", id, err)
		return 0
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.note("request %s: %d %s", id, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return resp.StatusCode
}

// judgeFatal counts the retries of the fatal request that reached runners later than contact_ms after its third crash.
func (s *stage) judgeFatal(fatal *fatalLog) (bool, error) {
	fatal.mu.Lock()
	defer fatal.mu.Unlock()
	s.note("the fatal request reached runners %d times and took down %d", len(fatal.arrivals), len(fatal.crashs))
	if len(fatal.arrivals) == 0 {
		return false, errors.New("the request has reached no runner")
	}
	if len(fatal.crashs) < 3 {
		return false, nil
	}
	late := 0
	for _, at := range fatal.arrivals {
		if at.After(fatal.crashs[2].Add(contactTime)) {
			late++
		}
	}
	s.note("later than contact_ms after the third crash it reached runners %d times more (three are allowed)", late)
	return late > 3, nil
}
