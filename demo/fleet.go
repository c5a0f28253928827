package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/agent"
	"github.com/rillreach/rillreach/backend"
	"github.com/rillreach/rillreach/controller/register"
	"github.com/rillreach/rillreach/edit"
	"github.com/rillreach/rillreach/entry"
	"github.com/rillreach/rillreach/internal/standin"
	"github.com/rillreach/rillreach/internal/standin/engine"
	standinplatform "github.com/rillreach/rillreach/internal/standin/platform"
	"github.com/rillreach/rillreach/internal/standin/service"
	"github.com/rillreach/rillreach/internal/standin/store"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/objectstore"
)

// Names used in the rows of the demo.
const (
	Model   = rillreach.ModelID("demo-model")
	Version = rillreach.VersionID("v1")
	Service = rillreach.ServiceID("receipts")

	secret             = "the demonstration's own secret"
	readyTimeout       = 15 * time.Second
	storeCapacityBytes = 256 << 20
	pollInterval       = 10 * time.Millisecond
)

// Fleet is a small fleet in one process. The settings, from Entries to Log, must be set before Start.
type Fleet struct {
	// Entries is the number of entries, Runners and Stores the numbers on each side.
	Entries int
	Runners int
	Stores  int
	// TokenInterval is the time between two output tokens of an engine, PrefillRate its prefill speed in tokens per
	// second.
	TokenInterval time.Duration
	PrefillRate   float64
	// Slots is the maximum number of concurrent requests per engine; zero means the agents' default.
	Slots int
	// TLS returns the TLS configuration for a role; nil means plain TCP between peers.
	TLS func(role rillreach.Role) (*tls.Config, error)
	// Log is the logger of all processes.
	Log logr.Logger

	// URLs are the entries' base URLs and EngineURLs the engines', set by Start.
	URLs       []string
	EngineURLs []string
	// Services are the stand-ins for plain services, which count the calls they execute.
	Services []*service.Server
	// StoresBySide and EnginesBySide are the stand-ins on each side.
	StoresBySide  map[rillreach.Side][]*store.Server
	EnginesBySide map[rillreach.Side][]*engine.Server
	// Platform is the stand-in for the platform; Editor writes the rows in it.
	Platform *standinplatform.Server
	Editor   *edit.Editor
	// Nodes are the nodes of all agents and entries.
	Nodes []*node.Node

	store rillreach.ObjectStore
	group *pool.ContextPool
	stop  context.CancelFunc
}

// Start starts the fleet. Stop must be called afterwards, even after an error.
func (f *Fleet) Start(ctx context.Context) error {
	ctx, f.stop = context.WithCancel(ctx)
	f.group = pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	f.StoresBySide, f.EnginesBySide = map[rillreach.Side][]*store.Server{}, map[rillreach.Side][]*engine.Server{}
	f.Platform = standinplatform.New()
	base, err := f.serve(f.Platform)
	if err != nil {
		return err
	}
	f.store = &objectstore.Client{BaseURL: "http://" + base.Addr().String()}
	f.Editor = &edit.Editor{Store: f.store}
	for _, side := range []rillreach.Side{rillreach.SideOld, rillreach.SideNew} {
		if err := f.startSide(side); err != nil {
			return err
		}
	}
	for i := range f.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// Stop cancels all processes without draining running requests, and waits until they have ended.
func (f *Fleet) Stop() {
	if f.stop != nil {
		f.stop()
		_ = f.group.Wait()
	}
}

// WaitReady waits until every entry serves requests with an API key: it must have the rows, an agent of the service and
// one of the model. Entries learn about agents some time after they get the rows.
func (f *Fleet) WaitReady(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, url := range f.URLs {
		for !entryReady(ctx, url, key) {
			if ctx.Err() != nil {
				return errors.Newf("entry at %s is not ready", url)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func entryReady(ctx context.Context, url, key string) bool {
	prompt := `{"model":"` + string(Model) + `","max_tokens":1,"messages":[{"role":"user","content":"ready"}]}`
	return succeeds(ctx, http.MethodGet, url+"/v1/models", key, "") &&
		succeeds(ctx, http.MethodPost, url+"/v1/tickets/"+string(Service), key, "") &&
		succeeds(ctx, http.MethodPost, url+"/v1/chat/completions", key, prompt)
}

// succeeds reports whether a request gets a response with a success status.
func succeeds(ctx context.Context, method, url, key, body string) bool {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

func (f *Fleet) serve(handler http.Handler) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	f.group.Go(func(ctx context.Context) error { return standin.Serve(ctx, listener, handler) })
	return listener, nil
}

func (f *Fleet) startSide(side rillreach.Side) error {
	for i := range f.Stores {
		if err := f.startStore(side, i); err != nil {
			return err
		}
	}
	for i := range f.Runners {
		if err := f.startRunner(side, i); err != nil {
			return err
		}
	}
	return f.startService(side)
}

func (f *Fleet) startStore(side rillreach.Side, i int) error {
	s := store.New(storeCapacityBytes, storeCapacityBytes)
	listener, err := f.serve(s)
	if err != nil {
		return err
	}
	f.StoresBySide[side] = append(f.StoresBySide[side], s)
	self, err := instance(rillreach.RoleStore, side, fmt.Sprintf("store-%s-%d", side, i), listener)
	if err != nil {
		return err
	}
	f.group.Go((&register.Controller{Self: self, Store: f.store, Log: f.Log}).Run)
	return nil
}

func (f *Fleet) startRunner(side rillreach.Side, i int) error {
	e := &engine.Server{Model: Model, Version: Version, TokenInterval: f.TokenInterval, PrefillRate: f.PrefillRate}
	listener, err := f.serve(e.Handler())
	if err != nil {
		return err
	}
	f.EnginesBySide[side] = append(f.EnginesBySide[side], e)
	base := "http://" + listener.Addr().String()
	f.EngineURLs = append(f.EngineURLs, base)
	n, err := f.node(rillreach.RoleAgent, side, fmt.Sprintf("runner-%s-%d", side, i))
	if err != nil {
		return err
	}
	n.Self.Model, n.Self.Versions = Model, []rillreach.VersionID{Version}
	client := &backend.Engine{Client: backend.Client{BaseURL: base, HTTP: backend.NewHTTPClient()}}
	f.group.Go((&agent.Agent{Node: n, Backend: client, Engine: client, Secret: []byte(secret), Slots: f.Slots, Grace: time.Nanosecond}).Run)
	return nil
}

func (f *Fleet) startService(side rillreach.Side) error {
	s := &service.Server{}
	listener, err := f.serve(s)
	if err != nil {
		return err
	}
	f.Services = append(f.Services, s)
	n, err := f.node(rillreach.RoleAgent, side, fmt.Sprintf("service-%s", side))
	if err != nil {
		return err
	}
	n.Self.Service = Service
	client := &backend.Client{BaseURL: "http://" + listener.Addr().String(), HTTP: backend.NewHTTPClient()}
	f.group.Go((&agent.Agent{Node: n, Backend: client, Secret: []byte(secret), Grace: time.Nanosecond}).Run)
	return nil
}

func (f *Fleet) startEntry(i int) error {
	n, err := f.node(rillreach.RoleEntry, "", fmt.Sprintf("entry-%d", i))
	if err != nil {
		return err
	}
	callers, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	f.URLs = append(f.URLs, "http://"+callers.Addr().String())
	f.group.Go((&entry.Entry{Node: n, Listener: callers, Secret: []byte(secret), Grace: time.Nanosecond}).Run)
	return nil
}

func (f *Fleet) node(role rillreach.Role, side rillreach.Side, name string) (*node.Node, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	self, err := instance(role, side, name, listener)
	if err != nil {
		return nil, err
	}
	n := &node.Node{
		Self: self, Store: f.store, Listener: listener, Clock: node.SystemClock(), Log: f.Log.WithValues("instance", name),
		DigestInterval: 200 * time.Millisecond, WatchTimeout: time.Second,
	}
	if f.TLS != nil {
		if n.TLS, err = f.TLS(role); err != nil {
			return nil, err
		}
	}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

func instance(role rillreach.Role, side rillreach.Side, name string, listener net.Listener) (rillreach.Instance, error) {
	incarnation, err := uuid.NewV7()
	if err != nil {
		return rillreach.Instance{}, errors.Wrap(err, "make incarnation")
	}
	self := rillreach.Instance{
		ID: rillreach.InstanceID(name), Role: role, Incarnation: rillreach.Incarnation(incarnation.String()),
		Zone: rillreach.ZoneID("zone-" + string(side)), Side: side,
	}
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		self.Address = tcp.AddrPort()
	}
	return self, nil
}
