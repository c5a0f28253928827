package node

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/replicate"
)

// Status is the state of a node as reported to operators.
type Status struct {
	Instance   rillreach.Instance    `json:"instance"`
	Ready      bool                  `json:"ready"`
	Leaving    bool                  `json:"leaving"`
	Watermarks []replicate.Watermark `json:"marks"`
	Members    int                   `json:"members"`
}

// OperatorHandler returns the handler for health checks, status and metrics.
func (n *Node) OperatorHandler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.GET("/readyz", n.readyz)
	router.GET("/status", n.status)
	router.GET("/count/:version", n.count)
	if n.Metrics != nil {
		router.Handler(http.MethodGet, "/metrics", n.Metrics.Handler())
	}
	return router
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if n.Replica == nil || !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// count responds with the number of processes that have received the rows up to a version.
func (n *Node) count(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	version, err := strconv.ParseUint(p.ByName("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	if n.Replica == nil {
		http.Error(w, "not started", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.Spread.CountReplicas(r.Context(), rillreach.KindRow, version))
}

func (n *Node) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if n.Replica == nil {
		http.Error(w, "not started", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Status{
		Instance:   n.Self,
		Ready:      n.Ready(),
		Leaving:    n.Leaving(),
		Watermarks: n.Replica.Watermarks(),
		Members:    len(n.Members.All()),
	})
}
