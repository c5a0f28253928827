// Package store is a stand-in for a store instance. It stores blocks in limited memory and on a limited disk, both of
// which are memory here, simulates a link with limited bandwidth, and corrupts responses on demand.
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

const maxBlockBytes = 256 << 20

// Faults are the faults that the store simulates.
type Faults struct {
	// BytesPerSecond is the bandwidth of the link; zero means no limit.
	BytesPerSecond float64 `json:"rate"`
	// Truncate returns half of each block, Corrupt changes a byte of each, and ReturnOtherBlock returns the most
	// recently used block instead of the requested one.
	Truncate         bool `json:"cutShort"`
	Corrupt          bool `json:"spoil"`
	ReturnOtherBlock bool `json:"swap"`
	// Full makes every write fail for lack of space.
	Full bool `json:"full"`
}

// Server is the stand-in. New creates one.
type Server struct {
	memoryBytes int64
	diskBytes   int64

	mu        sync.Mutex
	faults    Faults
	linkMu    sync.Mutex
	recency   *list.List
	blocks    map[string]*list.Element
	usedBytes int64
	counts    Counts
	router    *httprouter.Router
}

// Counts are the numbers of calls and bytes since the start, and of blocks currently stored.
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

// New returns an empty store with the given memory and disk capacity in bytes.
func New(memory, disk int64) *Server {
	s := &Server{memoryBytes: memory, diskBytes: disk, recency: list.New(), blocks: map[string]*list.Element{}}
	s.router = httprouter.New()
	s.router.GET(blockstore.PathBlocks+":name", s.read)
	s.router.PUT(blockstore.PathBlocks+":name", s.write)
	s.router.POST(blockstore.PathLookup, s.lookup)
	s.router.PUT("/faults", s.setFaults)
	s.router.GET("/counts", s.getCounts)
	return s
}

// ServeHTTP handles a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the simulated faults.
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
	s.transfer(faults, len(data))
	_, _ = w.Write(applyFaults(faults, data))
}

func (s *Server) find(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.blocks[name]
	if e == nil {
		return nil, false
	}
	if s.faults.ReturnOtherBlock {
		e = s.recency.Front()
	}
	s.recency.MoveToFront(e)
	data := e.Value.(block).data
	s.counts.Reads++
	s.counts.ReadBytes += int64(len(data))
	return data, true
}

func applyFaults(f Faults, data []byte) []byte {
	switch {
	case f.Truncate:
		return data[:len(data)/2]
	case f.Corrupt:
		corrupted := append([]byte(nil), data...)
		corrupted[len(corrupted)/2] ^= 1
		return corrupted
	default:
		return data
	}
}

// transfer simulates the transfer time of bytes on the link, one transfer at a time.
func (s *Server) transfer(f Faults, bytes int) {
	if f.BytesPerSecond <= 0 {
		return
	}
	s.linkMu.Lock()
	defer s.linkMu.Unlock()
	time.Sleep(time.Duration(float64(bytes) / f.BytesPerSecond * float64(time.Second)))
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBlockBytes))
	if err != nil {
		return
	}
	faults := s.currentFaults()
	s.transfer(faults, len(data))
	if faults.Full || int64(len(data)) > s.memoryBytes+s.diskBytes {
		http.Error(w, "no room", http.StatusInsufficientStorage)
		return
	}
	s.put(p.ByName("name"), data)
}

func (s *Server) put(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.counts.WriteBytes += int64(len(data))
	if e := s.blocks[name]; e != nil {
		s.remove(e)
	}
	s.blocks[name] = s.recency.PushFront(block{name: name, data: data})
	s.usedBytes += int64(len(data))
	for s.usedBytes > s.memoryBytes+s.diskBytes {
		s.remove(s.recency.Back())
	}
}

func (s *Server) remove(e *list.Element) {
	b := e.Value.(block)
	s.usedBytes -= int64(len(b.data))
	delete(s.blocks, b.name)
	s.recency.Remove(e)
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request blockstore.LookupRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := blockstore.LookupResponse{Held: []blockstore.HeldBlock{}}
	s.mu.Lock()
	for _, name := range request.Keys {
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

// Counts returns the numbers of calls and bytes since the start, and of blocks currently stored.
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
