// Package store is a stand-in for a store instance: it keeps blocks in limited memory and on a limited disk, both of
// which are memory here, over a link of limited rate, and spoils what it returns on demand.
package store

import (
	"container/list"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rillreach/rillreach/blockstore"
	"github.com/rillreach/rillreach/internal/standin"
)

const maxBlock = 256 << 20

// Faults are what the store is made to do wrong.
type Faults struct {
	// BytesPerSecond is the link's rate in bytes a second; zero means no limit.
	BytesPerSecond float64 `json:"rate"`
	// Truncate returns half of each block, Spoil changes a byte of each, Swap returns another block.
	Truncate         bool `json:"cutShort"`
	Corrupt          bool `json:"spoil"`
	ReturnOtherBlock bool `json:"swap"`
	// Full refuses every write.
	Full bool `json:"full"`
}

// Server is the stand-in; New makes one.
type Server struct {
	memory int64
	disk   int64

	mu     sync.Mutex
	faults Faults
	link   sync.Mutex
	order  *list.List
	blocks map[string]*list.Element
	held   int64
	counts Counts
	router *httprouter.Router
}

// Counts are the calls and bytes since the start.
type Counts struct {
	Reads      int64 `json:"reads"`
	Writes     int64 `json:"writes"`
	ReadBytes  int64 `json:"readBytes"`
	WriteBytes int64 `json:"writeBytes"`
	Blocks     int   `json:"blocks"`
}

type block struct {
	name string
	data []byte
}

// New returns an empty store with room in memory and on disk, in bytes.
func New(memory, disk int64) *Server {
	s := &Server{memory: memory, disk: disk, order: list.New(), blocks: map[string]*list.Element{}}
	s.router = httprouter.New()
	s.router.GET(blockstore.PathBlocks+":name", s.read)
	s.router.PUT(blockstore.PathBlocks+":name", s.write)
	s.router.POST(blockstore.PathLookup, s.lookup)
	s.router.PUT("/faults", s.setFaults)
	s.router.GET("/counts", s.getCounts)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults changes what goes wrong.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) read(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	data, ok := s.find(p.ByName("name"))
	if !ok {
		http.Error(w, "no such block", http.StatusNotFound)
		return
	}
	faults := s.currentFaults()
	s.carry(faults, len(data))
	_, _ = w.Write(spoiled(faults, data))
}

func (s *Server) find(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.blocks[name]
	if e == nil {
		return nil, false
	}
	if s.faults.ReturnOtherBlock {
		e = s.order.Front()
	}
	s.order.MoveToFront(e)
	data := e.Value.(block).data
	s.counts.Reads++
	s.counts.ReadBytes += int64(len(data))
	return data, true
}

func spoiled(f Faults, data []byte) []byte {
	switch {
	case f.Truncate:
		return data[:len(data)/2]
	case f.Corrupt:
		changed := append([]byte(nil), data...)
		changed[len(changed)/2] ^= 1
		return changed
	default:
		return data
	}
}

// carry takes the time that bytes need on the link, one transfer after another.
func (s *Server) carry(f Faults, bytes int) {
	if f.BytesPerSecond <= 0 {
		return
	}
	s.link.Lock()
	defer s.link.Unlock()
	time.Sleep(time.Duration(float64(bytes) / f.BytesPerSecond * float64(time.Second)))
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBlock))
	if err != nil {
		return
	}
	faults := s.currentFaults()
	s.carry(faults, len(data))
	if faults.Full || int64(len(data)) > s.memory+s.disk {
		http.Error(w, "no room", http.StatusInsufficientStorage)
		return
	}
	s.keep(p.ByName("name"), data)
}

func (s *Server) keep(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.counts.WriteBytes += int64(len(data))
	if e := s.blocks[name]; e != nil {
		s.remove(e)
	}
	s.blocks[name] = s.order.PushFront(block{name: name, data: data})
	s.held += int64(len(data))
	for s.held > s.memory+s.disk {
		s.remove(s.order.Back())
	}
}

func (s *Server) remove(e *list.Element) {
	b := e.Value.(block)
	s.held -= int64(len(b.data))
	delete(s.blocks, b.name)
	s.order.Remove(e)
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var ask blockstore.LookupRequest
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := blockstore.LookupResponse{Held: []blockstore.HeldBlock{}}
	s.mu.Lock()
	for _, name := range ask.Keys {
		if e := s.blocks[name]; e != nil {
			answer.Held = append(answer.Held, blockstore.HeldBlock{Key: name, Bytes: int64(len(e.Value.(block).data))})
		}
	}
	s.mu.Unlock()
	standin.WriteJSON(w, answer)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// Counts returns the calls and bytes since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Blocks = len(s.blocks)
	return counts
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, s.Counts())
}
