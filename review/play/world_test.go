//go:build review

package play

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// frontendPort and readinessPort are the ports of an entry.
	frontendPort  = 8749
	readinessPort = 8741
	storePort     = 8744
	// readyTimeout is how long the processes have to get ready.
	readyTimeout = 15 * time.Second
)

// world is a small deployment: the platform's store, and the project's processes.
type world struct {
	store     *site.Store
	storeAt   netip.AddrPort
	server    *httptest.Server
	network   byte
	claim     net.Listener
	folder    string
	begun     time.Time
	processes []*process

	mu   sync.Mutex
	file io.Writer
}

// newWorld claims a range of loopback addresses and starts the store.
func newWorld(record io.Writer) (*world, error) {
	w := &world{store: site.NewStore(), file: record, begun: time.Now()}
	if err := w.claimNetwork(); err != nil {
		return nil, err
	}
	var err error
	if w.folder, err = os.MkdirTemp("", "rillreach-review"); err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	host := w.address(0, 2)
	w.server = site.Serve(host, w.store)
	w.storeAt = addressOf(w.server)
	return w, nil
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// claimNetwork claims the addresses 127.N.x.x, so that cases that run at the same time do not meet.
func (w *world) claimNetwork() error {
	const networks = 200
	first := rand.IntN(networks)
	for i := range networks {
		w.network = byte(20 + (first+i)%networks)
		l, err := net.Listen("tcp", netip.AddrPortFrom(w.address(0, 1), storePort).String())
		if err == nil {
			w.claim = l
			return nil
		}
	}
	return errors.New("no range of loopback addresses is free")
}

func (w *world) address(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, third, fourth})
}

// record writes a line of the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.file, "%8.3f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the world.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	w.server.CloseClientConnections()
	w.server.Close()
	_ = w.claim.Close()
	_ = os.RemoveAll(w.folder)
}

// settingsPath returns the path of a process's settings file.
func (w *world) settingsPath(name string) string { return filepath.Join(w.folder, name+".toml") }
